use usher_types::Span;

use crate::{Candidates, NodeId, ServiceKey};

/// A packet's way between the nodes: where it may go, and where it has been.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trip {
    /// Service that the balancer chose.
    pub service: ServiceKey,
    /// Balancer that received the packet.
    pub origin: NodeId,
    /// Agents that the packet may visit.
    pub candidates: Candidates,
    /// Index of the agent that has it now.
    pub hop: u8,
    /// Busy agent with the shortest wait so far; opening packets only.
    pub best: Option<Best>,
    /// Longest wait that is of use to the caller; opening packets only.
    pub budget: Span,
    /// Rank of the route; 0 is served first.
    pub rank: u8,
    /// No other agent is left: take the packet, or refuse it.
    pub last: bool,
}

/// An agent that was busy, and how long a new request would wait there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Best {
    /// The agent.
    pub node: NodeId,
    /// Expected wait.
    pub wait: Span,
}

impl Trip {
    /// The trip's next agent, if one is left.
    pub(crate) fn next(&self) -> Option<(NodeId, Self)> {
        let hop = self.hop.checked_add(1)?;
        let node = *self.candidates.as_slice().get(usize::from(hop))?;
        Some((node, Self { hop, ..*self }))
    }
}
