//! Runs balancers and agents on the users' platform: threads, sockets and HTTP calls.
//!
//! One thread holds the control state. Traffic threads block on their sockets.

mod agent;
mod args;
mod balancer;
mod codec;
mod control;
mod error;
mod event;
mod http;
mod logs;
mod metrics;
mod optional_keys;
mod settings;
mod socket;

use std::env;

use usher_platform::SETTINGS_VARIABLE;

use control::Signals;

pub use args::Args;
pub use error::NodeError;
pub use event::EVENTS;
pub use metrics::{NODE_METRICS, NodeMetric};
pub use settings::{AgentSettings, Role, Settings};

/// Runs a node until it is stopped.
///
/// # Errors
/// `MU-9101` to `MU-9106`: the settings are not valid, or an address cannot be opened.
///
/// ```
/// let args = usher_node::Args { settings: Some("/missing".into()) };
/// assert!(usher_node::run(&args).is_err());
/// ```
pub fn run(args: &Args) -> Result<(), NodeError> {
    let named = args.settings.clone();
    let file = named.or_else(|| env::var_os(SETTINGS_VARIABLE).map(Into::into));
    let file = file.ok_or(NodeError::NoSettings(SETTINGS_VARIABLE))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| NodeError::Start {
            what: "the control thread",
            cause: cause.to_string(),
        })?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        // Must come first: a signal without a handler ends the process.
        let signals = Signals::new()?;
        let settings = Settings::read(&file)?;
        let logs = logs::start(&settings)?;
        settings.log_unfilled();
        let result = match settings.role {
            Role::Balancer => balancer::run(settings, &file, signals).await,
            Role::Agent => agent::run(settings, &file, signals).await,
        };
        logs.finish();
        result
    })
}
