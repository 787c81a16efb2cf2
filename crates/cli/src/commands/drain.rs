use argh::FromArgs;
use serde_json::json;
use usher_types::HostId;

use crate::error::CliError;
use crate::output::Output;
use crate::processes;
use crate::session::Session;

/// Begins to drain a host: no new work, flows move to other hosts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} booking-desk-3",
    note = "The host takes no new work from this moment on. Requests in progress are finished. The agent goes on running; stop it with SIGTERM."
)]
pub(crate) struct Drain {
    /// host to drain
    #[argh(positional)]
    host: HostId,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Drain {
    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        processes::drain(session.store(), &self.host).await?;
        Ok(Output {
            text: format!("{} is draining\n", self.host),
            json: json!({ "host": self.host, "draining": true }),
        })
    }
}
