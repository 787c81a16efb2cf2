//! Entry point of `marigoldusherd`.

use std::process::ExitCode;

use usher_daemon::Args;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(args.failure())
        }
    }
}
