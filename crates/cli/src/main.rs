//! Entry point of `marigoldusher`.

use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    usher_cli::run(&args, &mut stdout(), &mut stderr()).into()
}
