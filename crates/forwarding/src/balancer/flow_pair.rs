use usher_types::Time;

use super::flow_search::FlowSearch;
use crate::{Candidates, NodeId, PacketHeader};

/// Two hosts that got the opening packet of a flow; it opens at either of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FlowPair {
    /// The host that the flow was placed on, or the one that accepted it in place of that host.
    first: NodeId,
    /// The host that got the extra opening packet.
    second: NodeId,
    search: FlowSearch,
}

impl FlowPair {
    pub(crate) fn new(first: NodeId, second: NodeId) -> Self {
        let search = FlowSearch::default();
        Self {
            first,
            second,
            search,
        }
    }

    /// The hosts that copies of the opening packet go to, the preferred one first.
    pub(crate) fn hosts(&self) -> [NodeId; 2] {
        [self.first, self.second]
    }

    /// The agents that a packet of the flow visits.
    ///
    /// The second host comes first: an extra opening is sent because the first host may be dead, and
    /// a dead host loses the packet while a live one passes it on at once. After a packet was lost
    /// the order is reversed.
    pub(crate) fn candidates(&mut self, now: Time, packet_header: &PacketHeader) -> Candidates {
        self.search.begin(now, packet_header, false);
        let [first, second] = self.hosts();
        let order = if self.search.attempts().is_multiple_of(2) {
            [second, first]
        } else {
            [first, second]
        };
        let mut candidates = Candidates::default();
        for node in order {
            candidates.push(node);
        }
        candidates
    }

    /// Records agents that returned a packet; the host that is left, if there is one.
    pub(crate) fn on_returned(&mut self, visited: &Candidates) -> Option<NodeId> {
        self.search.add(visited);
        let left = self.hosts().into_iter();
        left.rev().find(|node| !self.search.has_visited(*node))
    }

    /// Applies a hint that `node` holds the flow; `true` if this settles where it is.
    ///
    /// Another agent that took the opening packet from the first one takes its place, since the flow
    /// may still open at the second one.
    pub(crate) fn on_hint(&mut self, node: NodeId) -> bool {
        let settled = self.hosts().contains(&node);
        if !settled {
            self.first = node;
        }
        settled
    }

    /// The agents that returned a packet.
    pub(crate) fn search(&self) -> &FlowSearch {
        &self.search
    }
}
