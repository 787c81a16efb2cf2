use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use usher_types::{FlowId, Segment, Sequence};

use crate::{Ranges, UnackedMessage};

/// State of a flow that is handed over to another agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowState {
    /// The flow.
    pub flow: FlowId,
    /// Sequence of the next packet to the caller.
    pub sequence: Sequence,
    /// Numbers of the messages already delivered to the service.
    pub done: Ranges,
    /// Received segments of incomplete messages.
    pub segments: Vec<Segment>,
    /// Messages to the caller that are not fully acknowledged.
    #[serde(rename = "output")]
    pub unacked: Vec<UnackedMessage>,
}

/// A directory entry that is handed over to the bucket's next owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowLocation {
    /// The flow.
    pub flow: FlowId,
    /// Address of the agent that holds it.
    pub holder: SocketAddrV4,
}

/// Flows, directory entries and tombstones that one agent hands over to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Address of the sending agent.
    pub from: SocketAddrV4,
    /// Number of the transfer; a retry has the same number.
    pub number: u64,
    /// Flows that the receiver is to hold.
    pub flows: Vec<FlowState>,
    /// Locations of flows that other agents hold.
    pub directory: Vec<FlowLocation>,
    /// Flows closed within the packet lifetime, which a late `Open` must not reopen.
    pub closed: Vec<FlowId>,
}
