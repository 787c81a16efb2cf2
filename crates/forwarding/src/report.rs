use serde::{Deserialize, Serialize};
use usher_evacuation::Evacuations;
use usher_outlier::OutcomeCounts;
use usher_types::{DataCentre, Sequence, Slots, Span};

use crate::{ConfigurationVersion, CpuCapacity, HostState, Load, NodeId, ServiceKey};

/// Report of an agent to balancers, sent several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the agent's process; unique to the process.
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
    /// Requests that the backend server processes at the same time.
    pub slots: Slots,
    /// How long the backend server will remain slow, until it has warmed up.
    pub warmup: Span,
    /// Requests at the backend server and their mean processing time.
    pub load: Load,
    /// What has become of the requests of the last seconds; zero unless it is observed.
    pub outcomes: OutcomeCounts,
    /// The agent reports to only a few balancers, which relay the report.
    pub relayed: bool,
    /// Every flow of the backend server is in the agent's table, as far as the agent can tell.
    pub complete: bool,
    /// How long the agent's process has run.
    pub uptime: Span,
}

/// Hello of a balancer to other balancers and to agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Start of the balancer's process; unique to the process.
    pub epoch: u64,
    /// Version of the balancer's active configuration.
    pub version: ConfigurationVersion,
    /// The balancer is about to stop.
    pub leaving: bool,
    /// The balancer has finished its start and can hand over the hosts that it knows.
    pub complete: bool,
    /// Data centre of the balancer.
    pub centre: DataCentre,
    /// Processor capacity of the balancer.
    pub capacity: CpuCapacity,
    /// Balancers that the sender hears.
    pub balancers: Vec<NodeId>,
    /// Agents that the sender hears; empty to agents and in a large fleet.
    pub agents: Vec<NodeId>,
    /// The sender asks the receiver for hellos in return.
    pub ask: bool,
    /// The newest evacuations that the sender knows; `None` if it has read none.
    pub evacuations: Option<Evacuations>,
}
