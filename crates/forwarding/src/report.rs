use serde::{Deserialize, Serialize};
use usher_types::{DataCentre, Sequence, Slots, Span, Version};

use crate::{HostState, Load, NodeId, ServiceKey, Strength};

/// What an agent tells balancers, several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the agent's process; no two processes have the same.
    pub epoch: u64,
    /// Order of the reports of one process.
    pub sequence: Sequence,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Service of the host.
    pub service: ServiceKey,
    /// State of the backend server.
    pub state: HostState,
    /// Start of the backend server's process in Unix milliseconds.
    pub born: u64,
    /// Requests that the backend server runs at the same time.
    pub slots: Slots,
    /// How long the backend server remains slow after its start.
    pub warmup: Span,
    /// Requests at the backend server.
    pub load: Load,
    /// The agent reports to few balancers, which relay the report.
    pub few: bool,
}

/// What a balancer tells other balancers and the agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Start of the balancer's process; no two processes have the same.
    pub epoch: u64,
    /// Version of the configuration in force there.
    pub version: Version,
    /// The balancer is about to stop.
    pub leaving: bool,
    /// Data centre of the balancer.
    pub centre: DataCentre,
    /// What the balancer's processor can do.
    pub strength: Strength,
    /// Balancers that it hears.
    pub balancers: Vec<NodeId>,
    /// Agents that it hears; left out in what is sent to agents, and in a large fleet.
    pub agents: Vec<NodeId>,
    /// The balancer wants to be greeted by the receiver.
    pub ask: bool,
}
