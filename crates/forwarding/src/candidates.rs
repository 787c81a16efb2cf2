use crate::NodeId;

/// Agents that a packet may visit, in order; stored without allocation.
///
/// ```
/// use usher_forwarding::{Candidates, NodeId};
/// let mut candidates = Candidates::default();
/// candidates.push("10.1.0.13".parse::<NodeId>()?);
/// assert_eq!(candidates.as_slice().len(), 1);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidates {
    nodes: [NodeId; Candidates::MAX],
    length: u8,
}

impl Candidates {
    /// Maximum number of agents, which take 64 bytes in each packet between nodes.
    pub const MAX: usize = 16;

    /// The agents in the order of visits.
    pub fn as_slice(&self) -> &[NodeId] {
        &self.nodes[..usize::from(self.length)]
    }

    /// Whether no further agent can be appended.
    pub(crate) fn is_full(&self) -> bool {
        usize::from(self.length) == Self::MAX
    }

    /// Appends an agent, unless it is listed or the list is full.
    pub fn push(&mut self, node: NodeId) {
        if self.is_full() || self.as_slice().contains(&node) {
            return;
        }
        self.nodes[usize::from(self.length)] = node;
        self.length += 1;
    }
}

impl Default for Candidates {
    fn default() -> Self {
        Self {
            nodes: [NodeId::NONE; Self::MAX],
            length: 0,
        }
    }
}
