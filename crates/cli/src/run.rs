use std::io::{self, Write};

use argh::FromArgs;
use async_std::task;
use usher_config::Kind;

use crate::ExitStatus;
use crate::args::{Args, Command};
use crate::error::CliError;
use crate::output::Output;
use crate::session::{Session, store_address};

const PROGRAM: &str = "marigoldusher";

/// Runs one command line; `args` does not include the program's name.
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
            return status_after_write(ExitStatus::Ok, &out.write_all(exit.output.as_bytes()));
        }
        Err(exit) => {
            return status_after_write(ExitStatus::Usage, &err.write_all(exit.output.as_bytes()));
        }
    };
    let json = args.command.json();
    match task::block_on(execute(args)) {
        Ok(output) => status_after_write(ExitStatus::Ok, &output.write(json, out)),
        // The faults are the result of the check.
        Err(CliError::FaultyDocument(output)) => {
            status_after_write(ExitStatus::Failed, &output.write(json, out))
        }
        Err(error) => status_after_write(error.exit_status(), &error.write(json, err)),
    }
}

// Output that cannot be written, for example to a closed pipe, turns success into a failure.
fn status_after_write(status: ExitStatus, write_result: &io::Result<()>) -> ExitStatus {
    if status == ExitStatus::Ok && write_result.is_err() {
        return ExitStatus::Failed;
    }
    status
}

async fn execute(args: Args) -> Result<Output, CliError> {
    let open_session = || Session::open(args.store, args.settings.as_deref());
    match args.command {
        Command::Profile(profile) => profile.action.run(&open_session()?, Kind::Profile).await,
        Command::Service(service) => service.action.run(&open_session()?, Kind::Service).await,
        Command::Apply(apply) => apply.run(&open_session()?).await,
        Command::Check(check) => check.run(),
        Command::Status(status) => status.run(&open_session()?).await,
        Command::Drain(drain) => drain.run(&open_session()?).await,
        Command::Forget(forget) => forget.run(&open_session()?).await,
        Command::Evacuation(evacuation) => {
            let store = store_address(args.store, args.settings.as_deref())?;
            evacuation.action.run(store).await
        }
        Command::Report(report) => report.run(&open_session()?).await,
    }
}
