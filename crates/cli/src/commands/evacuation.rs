use std::net::SocketAddrV4;

use argh::FromArgs;
use indexmap::IndexSet;
use serde_json::json;
use usher_types::{DataCentre, Span};

use crate::error::CliError;
use crate::evacuations::{Evacuations, Overview};
use crate::output::{Output, table};

const HEADING: [&str; 4] = ["CENTRE", "REQUESTED", "IN FORCE", "FOR"];

/// Empties data centres of the users' platform of new flows.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "evacuation",
    example = "{command_name} begin kolkata",
    example = "{command_name} list"
)]
pub(crate) struct EvacuationCommand {
    #[argh(subcommand)]
    pub(crate) action: EvacuationAction,
}

/// What can be done with evacuations.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum EvacuationAction {
    List(ListEvacuations),
    Begin(BeginEvacuation),
    End(EndEvacuation),
}

/// Shows the requests, and how many balancers have each in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --json")]
pub(crate) struct ListEvacuations {
    /// port between nodes, at which balancers answer (default 7720)
    #[argh(option, default = "DEFAULT_PORT", arg_name = "port")]
    port: u16,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Requests that no new flow goes to a data centre.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "begin", example = "{command_name} kolkata")]
pub(crate) struct BeginEvacuation {
    /// name of the data centre
    #[argh(positional)]
    centre: DataCentre,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Withdraws the request, so that new flows go to the data centre again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "end", example = "{command_name} kolkata")]
pub(crate) struct EndEvacuation {
    /// name of the data centre
    #[argh(positional)]
    centre: DataCentre,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

// First port of the range that `deploy/node.ini` uses.
const DEFAULT_PORT: u16 = 7_720;

impl EvacuationAction {
    /// Whether results and errors are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        match self {
            Self::List(list) => list.json,
            Self::Begin(begin) => begin.json,
            Self::End(end) => end.json,
        }
    }

    pub(crate) async fn run(self, store: SocketAddrV4) -> Result<Output, CliError> {
        let evacuations = Evacuations::new(store);
        match self {
            Self::List(list) => Ok(overview_output(&evacuations.overview(list.port).await?)),
            Self::Begin(BeginEvacuation { centre, .. }) => {
                let text = if evacuations.begin(&centre).await? {
                    "requested"
                } else {
                    "had been requested before"
                };
                Ok(Output {
                    text: format!("the evacuation of {centre} {text}\n"),
                    json: json!({ "centre": centre, "requested": true }),
                })
            }
            Self::End(EndEvacuation { centre, .. }) => {
                evacuations.end(&centre).await?;
                Ok(Output {
                    text: format!("the evacuation of {centre} withdrawn\n"),
                    json: json!({ "centre": centre, "requested": false }),
                })
            }
        }
    }
}

fn overview_output(overview: &Overview) -> Output {
    let answers: Vec<_> = overview.balancers.values().flatten().collect();
    let active = answers.iter().flat_map(|status| status.centres.keys());
    let centres: IndexSet<&DataCentre> = overview.requested.iter().chain(active).collect();
    let balancers = overview.balancers.len();
    let (mut rows, mut objects) = (Vec::new(), Vec::new());
    for centre in centres {
        let requested = overview.requested.contains(centre);
        let spans = answers
            .iter()
            .filter_map(|status| status.centres.get(centre));
        let spans: Vec<Span> = spans.copied().collect();
        let longest = spans.iter().max();
        rows.push(vec![
            centre.to_string(),
            if requested { "yes" } else { "no" }.to_owned(),
            format!("{} of {balancers}", spans.len()),
            longest.map_or_else(|| "-".to_owned(), ToString::to_string),
        ]);
        objects.push(json!({
            "centre": centre,
            "requested": requested,
            "in_force": spans.len(),
            "longest": longest,
        }));
    }
    let asked = overview.balancers.iter();
    let silent: Vec<_> = asked
        .filter(|(_, status)| status.is_none())
        .map(|(address, _)| address)
        .collect();
    let faults = silent
        .iter()
        .map(|address| format!("{address} does not answer\n"));
    let invalid = overview.invalid.iter();
    let faults = faults.chain(invalid.map(|name| format!("{name:?} is not a valid request\n")));
    Output {
        text: table(&HEADING, &rows) + &faults.collect::<String>(),
        json: json!({
            "centres": objects,
            "balancers": balancers,
            "silent": silent,
            "invalid": overview.invalid,
        }),
    }
}
