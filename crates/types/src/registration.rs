use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{FlowId, Version};

/// Tells the owner of a bucket that another agent holds a flow of that bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The flow.
    pub flow: FlowId,
    /// Address of the agent that holds it.
    pub holder: SocketAddrV4,
    /// Roster version under which the receiver owns the bucket.
    pub roster: Version,
}

/// Acknowledges a `Registration`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistrationAck {
    /// The flow.
    pub flow: FlowId,
    /// Address of the agent that the sender considers the holder.
    pub holder: SocketAddrV4,
}

/// Tells a balancer which agent holds a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The flow.
    pub flow: FlowId,
    /// Address of the agent that holds it.
    pub holder: SocketAddrV4,
}
