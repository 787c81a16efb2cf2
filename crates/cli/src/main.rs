//! Entry point of `marigoldusher`.

fn main() {}
