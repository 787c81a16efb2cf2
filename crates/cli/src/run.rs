use std::io::{self, Write};

use argh::FromArgs;
use async_std::task;
use usher_config::Kind;

use crate::ExitStatus;
use crate::args::{Args, Command};
use crate::error::CliError;
use crate::output::Output;
use crate::session::Session;

const PROGRAM: &str = "marigoldusher";

/// Runs one command line, without the program's name.
///
/// Results go to `out`, errors to `err`.
///
/// ```
/// use usher_cli::{ExitStatus, run};
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// assert_eq!(run(&["--help"], &mut out, &mut err), ExitStatus::Ok);
/// assert_eq!(run(&["fly"], &mut out, &mut err), ExitStatus::Usage);
/// ```
pub fn run(args: &[&str], out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
    let args = match Args::from_args(&[PROGRAM], args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            return finish(ExitStatus::Ok, &out.write_all(exit.output.as_bytes()));
        }
        Err(exit) => {
            return finish(ExitStatus::Usage, &err.write_all(exit.output.as_bytes()));
        }
    };
    let json = args.command.json();
    match task::block_on(execute(args)) {
        Ok(output) => finish(ExitStatus::Ok, &output.write(json, out)),
        Err(error) => finish(error.exit_status(), &error.write(json, err)),
    }
}

// A result that could not be written, for example to a closed pipe, is a failure.
fn finish(status: ExitStatus, written: &io::Result<()>) -> ExitStatus {
    if status == ExitStatus::Ok && written.is_err() {
        return ExitStatus::Failed;
    }
    status
}

async fn execute(args: Args) -> Result<Output, CliError> {
    let session = || Session::open(args.store, args.settings.as_deref());
    match args.command {
        Command::Profile(profile) => profile.action.run(&session()?, Kind::Profile).await,
        Command::Service(service) => service.action.run(&session()?, Kind::Service).await,
        Command::Apply(apply) => apply.run(&session()?).await,
        Command::Check(check) => check.run(),
        Command::Status(status) => status.run(&session()?).await,
        Command::Drain(drain) => drain.run(&session()?).await,
        Command::Forget(forget) => forget.run(&session()?).await,
        Command::Report(report) => report.run(&session()?).await,
    }
}
