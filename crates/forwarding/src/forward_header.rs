use usher_types::{ColdRate, Span};

use crate::{Candidates, NodeId, ServiceKey};

/// Forwarding state that travels with a packet between nodes.
///
/// Lists the agents that the packet may visit and how many of them it has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardHeader {
    /// Service that the balancer chose.
    pub service: ServiceKey,
    /// Balancer that received the packet.
    pub origin: NodeId,
    /// Agents that the packet may visit.
    pub candidates: Candidates,
    /// Index in `candidates` of the agent that has the packet now.
    pub hop: u8,
    /// Busy agent with the shortest expected wait so far; opening packets only.
    pub shortest: Option<ShortestQueue>,
    /// Time within which the caller can use the answer; opening packets only.
    pub budget: Span,
    /// Priority of the route; 0 is served first.
    pub rank: u8,
    /// Rate of cold hosts of the service; opening packets only.
    pub cold_rate: ColdRate,
    /// The packet must not be forwarded again. An opening packet is accepted, queued or refused; one of an
    /// established flow searches for its host, and visits one agent only.
    pub is_final: bool,
    /// The packet is an extra opening packet: accept it at once or drop it.
    pub is_extra: bool,
}

/// A busy agent and its expected wait for a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShortestQueue {
    /// The agent.
    pub node: NodeId,
    /// Expected wait.
    pub wait: Span,
}

impl ForwardHeader {
    /// The header of an extra opening packet of the same flow to another agent.
    ///
    /// No other agent is named, so that the packet opens the flow at this one or not at all.
    pub(crate) fn extra(&self, node: NodeId) -> Self {
        let mut candidates = Candidates::default();
        candidates.push(node);
        Self {
            candidates,
            hop: 0,
            shortest: None,
            is_extra: true,
            ..*self
        }
    }

    /// The next candidate and the header advanced to it, if one is left.
    pub(crate) fn next(&self) -> Option<(NodeId, Self)> {
        let hop = self.hop.checked_add(1)?;
        let node = *self.candidates.as_slice().get(usize::from(hop))?;
        Some((node, Self { hop, ..*self }))
    }

    /// The first candidate after `node`, and the header with which the packet visits all others again.
    ///
    /// `node` comes first in the list and counts as visited. Whichever agent takes the packet then
    /// notifies the balancer, since the balancer has not placed the flow on it.
    pub(crate) fn restart_after(&self, node: NodeId) -> Option<(NodeId, Self)> {
        let mut candidates = Candidates::default();
        candidates.push(node);
        for candidate in self.candidates.as_slice() {
            candidates.push(*candidate);
        }
        let restarted = Self {
            candidates,
            hop: 0,
            shortest: None,
            is_final: false,
            ..*self
        };
        restarted.next()
    }

    /// As [`Self::next`], without the current agent, which then does not count as visited.
    pub(crate) fn next_without_current(&self) -> Option<(NodeId, Self)> {
        let (node, header) = self.next()?;
        let mut candidates = Candidates::default();
        for (index, candidate) in self.candidates.as_slice().iter().enumerate() {
            if index != usize::from(self.hop) {
                candidates.push(*candidate);
            }
        }
        let hop = self.hop;
        Some((
            node,
            Self {
                candidates,
                hop,
                ..header
            },
        ))
    }
}
