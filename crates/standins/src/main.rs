//! Entry point of the stand-ins.

use std::process::ExitCode;

use usher_standins::Args;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
