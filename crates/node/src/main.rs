//! Entry point of `marigoldusher-node`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match usher_node::run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}
