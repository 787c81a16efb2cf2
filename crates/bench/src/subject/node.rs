use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use usher_agent::AgentState;
use usher_types::{HostId, HostState, Incarnation, RequestId, ServiceName, Time, Weight};

use super::Options;
use crate::model::Deployment;

/// An agent with the runs of its backend server.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) host: HostId,
    pub(super) agent: AgentState,
    pub(super) runs: HashMap<RequestId, Time>,
    pub(super) incarnation: Incarnation,
    /// Entry in the roster; `None` when it is not listed.
    pub(super) state: Option<HostState>,
    pub(super) weight: Weight,
    pub(super) life: Life,
    pub(super) tick: Option<Time>,
}

/// Where a process is in its planned restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Life {
    Running,
    Leaving,
    Gone,
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
            life: Life::Running,
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

pub(super) fn node_at(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}
