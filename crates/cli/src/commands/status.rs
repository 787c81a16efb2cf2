use argh::FromArgs;
use serde_json::json;
use usher_config::RolloutState;

use crate::error::CliError;
use crate::output::{Output, table};
use crate::processes::{Process, newest_version, query_all, rollout};
use crate::session::Session;

const HEADING: [&str; 5] = ["PROCESS", "CENTRE", "STATE", "REVISION", "ADDRESS"];
const NO_ANSWER: &str = "no answer";

/// Shows all processes and the configuration that they have in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}",
    example = "{command_name} --check --json"
)]
pub(crate) struct ShowStatus {
    /// fail with status 4 unless the newest configuration is in force everywhere
    #[argh(switch)]
    check: bool,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl ShowStatus {
    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        let target = newest_version(session.store()).await?;
        let processes = query_all(session.store()).await?;
        let state = rollout(&processes, target);
        if self.check && state != RolloutState::InForce {
            return Err(CliError::NotInForce {
                target,
                state: Box::new(state),
            });
        }
        let rows: Vec<Vec<String>> = processes.iter().map(row).collect();
        let objects: Vec<_> = processes.iter().map(process_json).collect();
        Ok(Output {
            text: table(&HEADING, &rows),
            json: json!({
                "newest": target,
                "in_force": state == RolloutState::InForce,
                "processes": objects,
            }),
        })
    }
}

fn row(process: &Process) -> Vec<String> {
    let (centre, state, revision) = match &process.status {
        Some(status) => (&*status.centre, &*status.state, status.revision.to_string()),
        None => ("-", NO_ANSWER, "-".to_owned()),
    };
    vec![
        process.peer.to_string(),
        centre.to_owned(),
        state.to_owned(),
        revision,
        process.admin.to_string(),
    ]
}

fn process_json(process: &Process) -> serde_json::Value {
    json!({
        "process": process.peer.to_string(),
        "admin": process.admin,
        "answered": process.status.is_some(),
        "status": process.json,
    })
}
