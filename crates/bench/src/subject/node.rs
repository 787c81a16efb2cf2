use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use usher_agent::AgentState;
use usher_types::{HostId, HostState, Incarnation, RequestId, ServiceName, Time, Weight};

use super::Options;
use crate::model::Deployment;

/// The agent process of one host, with the requests that its backend server runs.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) host: HostId,
    pub(super) agent: AgentState,
    /// Running requests and the times at which they started.
    pub(super) runs: HashMap<RequestId, Time>,
    pub(super) incarnation: Incarnation,
    /// State in the roster; `None` while the host is not listed.
    pub(super) state: Option<HostState>,
    pub(super) weight: Weight,
    pub(super) phase: Phase,
    /// Time of the next scheduled tick.
    pub(super) tick: Option<Time>,
}

/// Phase of a process in its planned restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Running,
    Leaving,
    Exited,
}

impl Node {
    pub(super) fn new(
        site: &Deployment,
        options: &Options,
        index: usize,
        incarnation: Incarnation,
    ) -> Self {
        let host = host(index);
        let settings = usher_agent::Settings {
            host: host.clone(),
            incarnation,
            service: service(),
            address: agent_address(index),
            slots: usher_types::Slots::new(site.slots),
            policy: options.policy,
        };
        Self {
            host,
            agent: AgentState::new(settings),
            runs: HashMap::new(),
            incarnation,
            state: Some(HostState::Serving),
            weight: Weight::NOMINAL,
            phase: Phase::Running,
            tick: None,
        }
    }
}

pub(super) fn service() -> ServiceName {
    "desk"
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}

fn host(index: usize) -> HostId {
    format!("host-{index}")
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}

pub(super) fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, index as u8), 7_000)
}

pub(super) fn balancer_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 201, 0, index as u8), 9_000)
}

/// Index of the agent or the balancer with this address.
pub(super) fn address_index(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}
