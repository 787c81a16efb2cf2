//! Entry point of `marigoldusherd`.

use std::process::ExitCode;

use argh::FromArgs;
use usher_daemon::{Args, EXIT_USAGE};

const PROGRAM: &str = "marigoldusherd";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&[PROGRAM], &arguments) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match args.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(args.failure_status())
        }
    }
}
