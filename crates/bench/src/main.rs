//! Entry point of the measuring tool.

fn main() {}
