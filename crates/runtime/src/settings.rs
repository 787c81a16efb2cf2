use std::net::SocketAddrV4;

use usher_types::{DataCentre, HostId, InstanceId, ServiceName, Slots};

/// Settings that both roles have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// Data centre of the process.
    pub centre: DataCentre,
    /// TCP address of the platform's store.
    pub store: SocketAddrV4,
    /// TCP address of the administration RPC.
    pub admin: SocketAddrV4,
    /// Administration RPC of other processes, asked at start because the store may be down.
    pub peers: Vec<SocketAddrV4>,
    /// UDP address of a statsd server.
    pub statsd: Option<SocketAddrV4>,
}

/// Settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancerSettings {
    /// Settings that both roles have.
    pub common: CommonSettings,
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// UDP address for packets from the fabric.
    pub packets: SocketAddrV4,
    /// UDP address for heartbeats and hints.
    pub control: SocketAddrV4,
    /// Number of traffic threads.
    pub threads: usize,
    /// Capacity of the hint table, in flows.
    pub hints: usize,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that both roles have.
    pub common: CommonSettings,
    /// Host that the process runs on.
    pub host: HostId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// UDP address for all datagrams.
    pub listen: SocketAddrV4,
    /// UDP address of the fabric, to which answers are sent.
    pub fabric: SocketAddrV4,
    /// TCP address of the backend server.
    pub backend: SocketAddrV4,
    /// Number of requests that the backend server runs concurrently.
    pub slots: Slots,
}
