//! Entry point of `capacity`.

use std::process::ExitCode;

use usher_capacity::Args;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.run() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
