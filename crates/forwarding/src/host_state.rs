use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// State of a backend server as its agent knows it.
///
/// ```
/// use usher_forwarding::HostState;
/// assert_eq!("draining".parse(), Ok(HostState::Draining));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// No heartbeat since the agent started.
    Unheard,
    /// Takes new flows.
    Serving,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Has left.
    Ended,
}

/// The text is not the name of a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownState;

const NAMES: [(HostState, &str); 4] = [
    (HostState::Unheard, "unheard"),
    (HostState::Serving, "serving"),
    (HostState::Draining, "draining"),
    (HostState::Ended, "ended"),
];

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(state, _)| state == self);
        f.write_str(name.map_or("unknown", |(_, name)| name))
    }
}

impl FromStr for HostState {
    type Err = UnknownState;

    fn from_str(text: &str) -> Result<Self, UnknownState> {
        let state = NAMES.iter().find(|(_, name)| *name == text);
        state.map(|(state, _)| *state).ok_or(UnknownState)
    }
}
