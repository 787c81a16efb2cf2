//! Entry point of `standin`.

fn main() {}
