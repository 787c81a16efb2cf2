use argh::FromArgs;
use serde_json::json;
use usher_types::InstanceId;

use crate::error::CliError;
use crate::output::Output;
use crate::processes;
use crate::session::Session;

/// Takes a dead balancer out of its data centre's list.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "forget",
    example = "{command_name} entry-1",
    note = "Balancers of one data centre remove a dead one by themselves. In a data centre with a single balancer, no other one does so; until its entry is removed, `apply --wait` and `status --check` name it.",
    note = "A balancer that still answers is not taken out: stop it with SIGTERM."
)]
pub(crate) struct Forget {
    /// instance of the balancer
    #[argh(positional)]
    instance: InstanceId,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Forget {
    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        processes::forget(session.store(), &self.instance).await?;
        Ok(Output {
            text: format!("{} is no longer listed\n", self.instance),
            json: json!({ "instance": self.instance, "listed": false }),
        })
    }
}
