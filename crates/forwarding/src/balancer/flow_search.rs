use indexmap::IndexSet;
use usher_types::{Span, Time};

use crate::{Candidates, NodeId};

// A search that found nothing is repeated by the next packet after this time. New hosts are known
// to all balancers by then: digests between data centres come every 500 ms.
const REPEAT_AFTER: Span = Span::from_millis(500);
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
    /// An earlier search has visited all agents that were known then.
    repeated: bool,
}

impl FlowSearch {
    /// Begins again if the search found nothing some time ago.
    pub(crate) fn begin(&mut self, now: Time) {
        let over = |exhausted_at| now - exhausted_at >= REPEAT_AFTER;
        if self.exhausted_at.is_some_and(over) {
            self.visited.clear();
            self.exhausted_at = None;
            self.repeated = true;
        }
    }

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
    pub(crate) fn mark_exhausted(&mut self, now: Time) {
        self.exhausted_at.get_or_insert(now);
    }

    /// Whether all agents have returned packets of the flow twice, some time apart.
    pub(crate) fn is_repeated(&self) -> bool {
        self.repeated && !self.is_full()
    }
}
