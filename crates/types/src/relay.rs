use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Generation, Packet, ServiceName, Version};

/// A caller's packet that a balancer or an agent forwards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Service that the packet is for; an agent of another service drops it.
    pub service: ServiceName,
    /// Generation of the service's address.
    pub generation: Generation,
    /// Roster version that the route was computed from.
    pub roster: Version,
    /// Agents to try, in order: current candidates, then earlier owners.
    pub route: Vec<SocketAddrV4>,
    /// Number of leading entries of `route` that are current candidates.
    pub current: u8,
    /// Position in `route` of the agent that receives the relay.
    pub hop: u8,
    /// How the receiver is to treat an unknown flow.
    pub mode: RelayMode,
    /// Balancer that first forwarded the packet; hints go there.
    pub balancer: SocketAddrV4,
    /// The caller's packet.
    pub packet: Packet,
}

/// How the receiver treats a packet of a flow that it does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMode {
    /// The receiver decides as the owner of the flow's bucket.
    Owner,
    /// The bucket's owner forwarded an `Open`. The receiver accepts it unless it is draining.
    Hunt,
    /// The bucket's new owner asks the earlier owners in turn. Unknown flows return to it.
    Probe,
    /// No earlier owner knows the flow; the bucket's owner decides alone.
    #[serde(rename = "Probed")]
    ProbeDone,
    /// The sender knows from a directory entry or hint that the receiver holds the flow.
    Direct,
}
