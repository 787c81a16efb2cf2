use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{HostId, HostState, Incarnation, InstanceId, Span, Time, Version, Weight};

/// Identity of an agent or a balancer: its host or its instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Peer {
    /// The agent of a host.
    Host(HostId),
    /// The balancer of an instance.
    Instance(InstanceId),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => write!(f, "host {host}"),
            Self::Instance(instance) => write!(f, "instance {instance}"),
        }
    }
}

/// A heartbeat, sent once a second. Between agents it also renews the sender's ownership lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: Peer,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Version of its service's roster that the sender has adopted.
    pub roster: Version,
    /// Highest configuration version that the sender has in force.
    pub revision: Version,
    /// Whether the sender takes new work.
    pub state: HostState,
    /// Estimated queue wait of a request that arrives now.
    pub wait: Span,
    /// Capacity that the sender has measured of its backend server.
    pub weight: Weight,
    /// Time of sending on the sender's clock, echoed in the acknowledgement.
    pub sent: Time,
    /// Hosts and balancers whose heartbeats the sender no longer receives.
    pub suspects: Vec<Peer>,
}

/// Acknowledges a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatAck {
    /// The process that acknowledges.
    pub from: Peer,
    /// Version of the service's roster that it has adopted.
    pub roster: Version,
    /// Highest configuration version that it has in force.
    pub revision: Version,
    /// `sent` of the heartbeat.
    pub sent: Time,
}
