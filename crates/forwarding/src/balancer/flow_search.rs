use indexmap::IndexSet;
use usher_types::{Span, Time};

use crate::{Candidates, NodeId};

// A search that found nothing is repeated by the next packet after this time; sooner ones visit
// only agents that have joined.
const REPEAT_AFTER: Span = Span::from_secs(1);
// A search ends here in a fleet that is too large to visit.
const MAX_VISITED: usize = 4_096;

/// Progress of the search for the host of one flow: the agents that returned its packets.
///
/// Agents are remembered by address, so that the search misses none when the view changes or when
/// several packets of the flow are returned at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FlowSearch {
    visited: IndexSet<NodeId>,
    exhausted_at: Option<Time>,
}

impl FlowSearch {
    /// Records agents that returned a packet of the flow.
    pub(crate) fn add(&mut self, visited: &Candidates) {
        self.visited.extend(visited.as_slice());
    }

    pub(crate) fn has_visited(&self, node: NodeId) -> bool {
        self.visited.contains(&node)
    }

    /// Number of agents that returned a packet.
    pub(crate) fn visited(&self) -> usize {
        self.visited.len()
    }

    /// Whether the search must not visit further agents.
    pub(crate) fn is_full(&self) -> bool {
        self.visited.len() >= MAX_VISITED
    }

    /// Records that all known agents were visited by `now`.
    pub(crate) fn exhaust(&mut self, now: Time) {
        self.exhausted_at.get_or_insert(now);
    }

    /// Whether the search found nothing and may be repeated at `now`.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.exhausted_at
            .is_some_and(|exhausted_at| now - exhausted_at >= REPEAT_AFTER)
    }
}
