use indexmap::IndexSet;
use usher_types::{Span, Time};

use crate::agent::MAX_SEQUENCE_DISTANCE;
use crate::{Candidates, NodeId, PacketHeader};

// A search that found nothing is repeated by the next packet after this time. New hosts are known
// to all balancers by then: digests between data centres come every 500 ms.
pub(crate) const REPEAT_AFTER: Span = Span::from_millis(500);
// A packet that the caller sends again after this time, without progress of the flow, was lost.
const ANSWER_TIME: Span = Span::from_millis(100);
// A copy of a packet whose search is under way is not searched for again within this time; a caller sends
// the first copy after 200 ms and the second one after 600 ms.
const COPY_TIME: Span = Span::from_millis(300);
// Agents that parallel packets of one flow visit at the same time: eight packets.
const MAX_IN_FLIGHT: usize = 8 * Candidates::MAX;
// A search ends here in a fleet that is too large to visit.
const MAX_VISITED: usize = 4_096;

/// Progress of the search for the host of one flow: the agents that returned its packets.
///
/// Agents are remembered by address, so that the search misses none when the view changes or when
/// several packets of the flow are returned at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FlowSearch {
    visited: IndexSet<NodeId>,
    /// Agents that copies of one packet are on their way to in parallel.
    in_flight: IndexSet<NodeId>,
    /// Sequence, acknowledgement and length of that packet.
    parallel: (u32, u32, u16),
    /// When the last of those copies were sent.
    parallel_at: Time,
    /// Those agents are the first that the search visits.
    first_round: bool,
    /// Chains of those agents that no copy was sent along yet.
    unsent: Vec<Candidates>,
    /// Agents of chains whose copies have not returned in time; any of them may have lost its copy.
    unanswered: IndexSet<NodeId>,
    exhausted_at: Option<Time>,
    /// An earlier search has visited all agents that were known then.
    repeated: bool,
    /// Highest sequence and acknowledgement of the caller's packets.
    progress: Option<(u32, u32)>,
    attempts: u32,
    attempted_at: Time,
    /// When the first packet of the flow was searched for.
    begun_at: Option<Time>,
    /// When the flow was reset. A later flow of the port may begin with the same sequence.
    reset_at: Option<Time>,
    /// When a packet of the flow was last sent to agents.
    sent_at: Option<Time>,
    /// The flow is listed among those that a wake-up judges.
    pub(crate) listed: bool,
}

impl FlowSearch {
    /// Records a packet of the caller; a search that found nothing some time ago begins again.
    ///
    /// A packet without progress since the last one tells that the last one was lost on its way.
    /// After a start of all machines (`once`) the search does not begin again.
    pub(crate) fn begin(&mut self, now: Time, packet_header: &PacketHeader, once: bool) {
        let forgotten = self.reset_at.is_some_and(|at| now - at >= REPEAT_AFTER);
        if once && (forgotten || !self.is_of(packet_header)) {
            // A listed flow stays listed, so that it is listed once.
            *self = Self {
                listed: self.listed,
                ..Self::default()
            };
        }
        self.begun_at.get_or_insert(now);
        if self.advance(packet_header) {
            self.attempts = 0;
            self.attempted_at = now;
        } else if now - self.attempted_at >= ANSWER_TIME {
            self.attempts += 1;
            self.attempted_at = now;
        }
        if now - self.parallel_at >= ANSWER_TIME {
            self.give_up_in_flight();
        }
        let over = |exhausted_at| now - exhausted_at >= REPEAT_AFTER;
        if !once && self.exhausted_at.is_some_and(over) {
            self.visited.clear();
            self.give_up_in_flight();
            self.exhausted_at = None;
            self.repeated = true;
        }
    }

    /// Whether a packet is a copy of one that agents are being visited with.
    pub(crate) fn is_copy(&self, now: Time, packet_header: &PacketHeader) -> bool {
        let recent = self.sent_at.is_some_and(|sent| now - sent < COPY_TIME);
        recent
            && self.exhausted_at.is_none()
            && self.is_of(packet_header)
            && !self.shows_progress(packet_header)
    }

    /// Whether a packet is of the searched flow, and not of a later one from the same port.
    pub(crate) fn is_of(&self, packet_header: &PacketHeader) -> bool {
        self.progress.is_none_or(|(known, _)| {
            let distance = packet_header.sequence.wrapping_sub(known);
            distance.min(distance.wrapping_neg()) <= MAX_SEQUENCE_DISTANCE
        })
    }

    // Records a packet; whether it shows progress of the flow in either direction.
    fn advance(&mut self, packet_header: &PacketHeader) -> bool {
        let advanced = self.shows_progress(packet_header);
        if advanced {
            self.progress = Some(position(packet_header));
        }
        advanced
    }

    // The first packet of a search shows progress.
    fn shows_progress(&self, packet_header: &PacketHeader) -> bool {
        let Some((sequence, acknowledged)) = self.progress else {
            return true;
        };
        let is_later = |value: u32, known: u32| value.wrapping_sub(known).cast_signed() > 0;
        is_later(packet_header.sequence, sequence)
            || is_later(packet_header.acknowledged, acknowledged)
    }

    // Counts the copies that have not returned yet as lost.
    fn give_up_in_flight(&mut self) {
        self.unanswered.extend(self.in_flight.drain(..));
        self.unsent.clear();
    }

    /// Records agents that returned a packet of the flow.
    pub(crate) fn add(&mut self, visited: &Candidates) {
        for node in visited.as_slice() {
            self.in_flight.swap_remove(node);
            self.unanswered.swap_remove(node);
            self.visited.insert(*node);
        }
    }

    /// Records that a packet was sent to agents.
    pub(crate) fn sent(&mut self, now: Time) {
        self.sent_at = Some(now);
    }

    /// Records that copies of a packet go along chains in parallel; [`Self::next_unsent`] returns them.
    pub(crate) fn send_parallel(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        chains: Vec<Candidates>,
    ) {
        if self.in_flight.is_empty() {
            self.first_round = self.visited.is_empty();
        }
        self.parallel = fingerprint(packet_header);
        self.parallel_at = now;
        for chain in &chains {
            self.in_flight.extend(chain.as_slice());
        }
        self.unsent.extend(chains.into_iter().rev());
        self.sent(now);
    }

    /// The next chain that a copy of this packet is to be sent along.
    pub(crate) fn next_unsent(&mut self, packet_header: &PacketHeader) -> Option<Candidates> {
        if self.parallel == fingerprint(packet_header) {
            self.unsent.pop()
        } else {
            None
        }
    }

    /// Whether agents are being visited in parallel.
    pub(crate) fn is_parallel(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Whether copies of this packet are visiting agents in parallel.
    pub(crate) fn is_parallel_with(&self, packet_header: &PacketHeader) -> bool {
        self.is_parallel() && self.parallel == fingerprint(packet_header)
    }

    /// How many further agents may be visited in parallel.
    ///
    /// One round of the agents that most likely hold the flow goes first. If all agents know the flows of
    /// their hosts (`complete`), many more are then visited at once; otherwise one round after the other,
    /// since agents pass packets on to hosts that do not hold their flow.
    pub(crate) fn room(&self, complete: bool) -> usize {
        let first = self.visited.is_empty();
        match (self.in_flight.len(), complete) {
            (0, true) if !first => MAX_IN_FLIGHT,
            (0, _) => Candidates::MAX,
            (in_flight, true) if !self.first_round => MAX_IN_FLIGHT.saturating_sub(in_flight),
            _ => 0,
        }
    }

    /// Whether an agent was in a chain whose copy has not returned in time.
    pub(crate) fn is_unanswered(&self, node: NodeId) -> bool {
        self.unanswered.contains(&node)
    }

    /// Number of agents that have not returned a copy in time.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    pub(crate) fn is_in_flight(&self, node: NodeId) -> bool {
        self.in_flight.contains(&node)
    }

    pub(crate) fn has_visited(&self, node: NodeId) -> bool {
        self.visited.contains(&node)
    }

    /// Position up to which the caller has received; it accepts only a reset near it.
    pub(crate) fn received(&self) -> u32 {
        self.progress.map_or(0, |(_, received)| received)
    }

    /// Number of agents that returned a packet.
    pub(crate) fn visited(&self) -> usize {
        self.visited.len()
    }

    /// Packets in a row that were lost on their way.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the search must not visit further agents.
    pub(crate) fn is_full(&self) -> bool {
        self.visited.len() >= MAX_VISITED
    }

    /// Records that the flow was reset.
    pub(crate) fn mark_reset(&mut self, now: Time) {
        self.reset_at.get_or_insert(now);
    }

    /// Records that all known agents were visited by `now`.
    pub(crate) fn mark_exhausted(&mut self, now: Time) {
        self.exhausted_at.get_or_insert(now);
    }

    /// Whether all agents have returned packets of the flow twice, some time apart.
    pub(crate) fn is_repeated(&self) -> bool {
        self.repeated && !self.is_full()
    }

    /// Whether any host that held the flow when its search began is known to all balancers.
    pub(crate) fn is_thorough(&self, now: Time) -> bool {
        let thorough = |begun_at| now - begun_at >= REPEAT_AFTER;
        self.begun_at.is_some_and(thorough) && !self.is_full()
    }
}

fn fingerprint(packet_header: &PacketHeader) -> (u32, u32, u16) {
    let (sequence, acknowledged) = position(packet_header);
    (sequence, acknowledged, packet_header.data)
}

fn position(packet_header: &PacketHeader) -> (u32, u32) {
    (packet_header.sequence, packet_header.acknowledged)
}
