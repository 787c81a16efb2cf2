use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use usher_types::{FlowId, Segment, Sequence};

use crate::{Output, Ranges};

/// State of one flow on its way to another agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowState {
    /// The flow.
    pub flow: FlowId,
    /// Sequence of the next packet to the caller.
    pub sequence: Sequence,
    /// Messages that were given out.
    pub done: Ranges,
    /// Segments of incomplete messages.
    pub segments: Vec<Segment>,
    /// Messages to the caller that are not acknowledged yet.
    pub output: Vec<Output>,
}

/// A directory entry on its way to the bucket's next owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Located {
    /// The flow.
    pub flow: FlowId,
    /// Address of the agent that holds it.
    pub holder: SocketAddrV4,
}

/// Flows and directory entries that one agent hands to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Address of the sending agent.
    pub from: SocketAddrV4,
    /// Number of the transfer; a repeated one has the same number.
    pub number: u64,
    /// Flows; the receiver holds them from now on.
    pub flows: Vec<FlowState>,
    /// Flows that are held elsewhere.
    pub directory: Vec<Located>,
    /// Flows that were closed within the packet lifetime; a late `Open` may not open them.
    pub closed: Vec<FlowId>,
}
