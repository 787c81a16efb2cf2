//! Entry point of `marigoldusherd`.

fn main() {}
