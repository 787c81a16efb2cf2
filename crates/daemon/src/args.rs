use std::path::PathBuf;

use argh::FromArgs;
use async_std::channel;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::logs;
use crate::settings::{Role, Settings};

const EXIT_FAILED: u8 = 1;
/// Exit status for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Layer-4 load balancer daemon: a balancer on an entry instance or an agent beside a backend
/// server.
///
/// SIGTERM begins a planned stop: no request in progress is cut.
#[derive(Debug, FromArgs)]
#[argh(
    example = "marigoldusherd --settings agent.ini",
    example = "marigoldusherd --settings agent.ini --check",
    note = "Exit status: 0 stopped as planned, 1 failed, 2 wrong settings or command line."
)]
pub struct Args {
    /// INI file; docs/settings.md lists its keys
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl Args {
    /// Runs the process until a planned stop has finished.
    ///
    /// # Errors
    /// Fails when the settings are invalid or the process cannot continue.
    pub fn run(&self) -> Result<()> {
        let settings = Settings::load(&self.settings)?;
        if self.check {
            println!("{}: settings are valid", self.settings.display());
            return Ok(());
        }
        let stop = stop_signal()?;
        let file = settings.log_file.as_deref();
        let level = settings.log_level;
        match settings.role {
            Role::Balancer(role) => {
                logs::start(file, level, &role.instance, &role.common.centre)?;
                usher_runtime::run_balancer(role, stop).into_diagnostic()
            }
            Role::Agent(role) => {
                logs::start(file, level, &role.host, &role.common.centre)?;
                usher_runtime::run_agent(role, stop).into_diagnostic()
            }
        }
    }

    /// Exit status after a failed [`Args::run`].
    pub fn failure_status(&self) -> u8 {
        match Settings::load(&self.settings) {
            Err(_) => EXIT_USAGE,
            Ok(_) => EXIT_FAILED,
        }
    }
}

// Sends a message at the first SIGTERM or SIGINT; a second signal ends the process at once.
fn stop_signal() -> Result<channel::Receiver<()>> {
    let (sender, receiver) = channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    std::thread::spawn(move || {
        for count in 0.. {
            if signals.forever().next().is_none() || count > 0 {
                std::process::exit(i32::from(EXIT_FAILED));
            }
            // An error means that the runtime has ended and dropped the receiver.
            let _ = sender.send_blocking(());
        }
    });
    Ok(receiver)
}
