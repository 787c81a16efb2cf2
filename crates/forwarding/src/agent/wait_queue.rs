use usher_queueing::{Caller, FairQueue, Place, Rank, Waiting};
use usher_types::{Span, Time};

use super::held_data::HeldData;
use crate::{FlowKey, ForwardHeader};

// Queued requests per agent, openings and requests on open flows.
const CAPACITY: usize = 512;
// Held packets of open flows per agent; later ones are delivered. A packet has 1,200 bytes of data.
const MAX_PACKETS: usize = 256;
// Part of the time for which a caller waits that is left to the handshake.
const HANDSHAKE_RESERVE: Span = Span::from_millis(200);
// Multiple of the mean processing time to reserve after the wait; nine of ten requests take less.
const WORK_RESERVE_FACTOR: u64 = 3;
// Share of the budget that a flow may wait even where processing takes most of the budget.
const MIN_WAIT_SHARE: f64 = 0.25;
// Share of the target that a request on an open flow waits at most.
const MAX_HOLD_SHARE: f64 = 0.25;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Queued {
    /// Header of the packet that began the wait.
    pub(crate) header: ForwardHeader,
    pub(crate) work: Work,
    deadline: Time,
    /// When the caller gives the flow up; `None` for one that is open.
    abandoned_at: Option<Time>,
}

/// What waits.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Work {
    /// An opening packet with this sequence.
    Opening { sequence: u32 },
    /// A request on an open flow.
    Request(HeldData),
}

impl Queued {
    pub(crate) fn is_opening(&self) -> bool {
        matches!(self.work, Work::Opening { .. })
    }
}

/// Requests that wait for a slot.
#[derive(Debug, Clone)]
pub(crate) struct WaitQueue {
    queue: FairQueue<FlowKey, Queued>,
    /// Held packets of open flows.
    packets: usize,
    /// No request has waited too long before this time.
    next_deadline: Option<Time>,
}

impl WaitQueue {
    pub(crate) fn new() -> Self {
        Self {
            queue: FairQueue::new(CAPACITY),
            packets: 0,
            next_deadline: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn contains(&self, flow: &FlowKey) -> bool {
        self.queue.contains(flow)
    }

    /// Number of queued requests that are served before a new one of this caller.
    pub(crate) fn ahead(&self, now: Time, rank: Rank, caller: Caller) -> usize {
        self.queue.ahead(now, rank, caller)
    }

    /// Whether a request of this rank or a better one waits.
    pub(crate) fn has_rank(&self, rank: Rank) -> bool {
        self.queue.has_rank(rank)
    }

    /// The best rank of the queued requests.
    pub(crate) fn best_rank(&self) -> Option<Rank> {
        self.queue.iter().next().map(|(place, _)| place.rank)
    }

    /// Longest wait that leaves enough of the header's budget for processing.
    ///
    /// `life` is the time for which the caller waits.
    pub(crate) fn max_wait(header: &ForwardHeader, work: Span, life: Span) -> Span {
        let least = header.budget.scale(MIN_WAIT_SHARE);
        (header.budget - work * WORK_RESERVE_FACTOR)
            .max(least)
            .min(life - HANDSHAKE_RESERVE)
    }

    /// Whether the queue takes no more requests.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.is_full()
    }

    /// Whether no more packets of open flows can be held.
    pub(crate) fn is_full_of_packets(&self) -> bool {
        self.packets + 1 >= MAX_PACKETS
    }

    /// Charges a caller with a request that starts without waiting.
    pub(crate) fn start(&mut self, now: Time, rank: Rank, caller: Caller) {
        self.queue.start(now, rank, caller);
    }

    /// Makes the requests that wait in the order of arrival precede those shared by caller.
    pub(crate) fn begin_sharing(&mut self) {
        self.queue.advance_past(Caller::ANY);
    }

    /// Queues an opening packet.
    pub(crate) fn push_opening(
        &mut self,
        now: Time,
        (flow, sequence): (FlowKey, u32),
        caller: Caller,
        header: &ForwardHeader,
        (max_wait, life): (Span, Span),
    ) {
        let queued = Queued {
            header: *header,
            work: Work::Opening { sequence },
            deadline: now + max_wait,
            abandoned_at: Some(now + life),
        };
        let rank = Rank::new(header.rank);
        self.next_deadline = Some(earliest(self.next_deadline, queued.deadline));
        self.queue.push(now, flow, rank, caller, queued);
    }

    /// Queues the first packet of a request on an open flow.
    pub(crate) fn push_request(
        &mut self,
        now: Time,
        (flow, data): (FlowKey, HeldData),
        (rank, caller): (Rank, Caller),
        header: &ForwardHeader,
        target: Span,
    ) {
        let queued = Queued {
            header: *header,
            work: Work::Request(data),
            deadline: now + target.scale(MAX_HOLD_SHARE),
            abandoned_at: None,
        };
        self.next_deadline = Some(earliest(self.next_deadline, queued.deadline));
        if self.queue.push(now, flow, rank, caller, queued) {
            self.packets += data.packets;
        }
    }

    pub(crate) fn get(&mut self, flow: &FlowKey) -> Option<Queued> {
        self.queue.get_mut(flow).copied()
    }

    /// The packets of the queued request of an open flow.
    pub(crate) fn held(&mut self, flow: &FlowKey) -> Option<HeldData> {
        match self.queue.get_mut(flow)?.work {
            Work::Opening { .. } => None,
            Work::Request(data) => Some(data),
        }
    }

    /// Replaces the packets of the queued request of an open flow.
    pub(crate) fn set_held(&mut self, flow: &FlowKey, data: HeldData) {
        if let Some(queued) = self.queue.get_mut(flow)
            && let Work::Request(before) = queued.work
        {
            self.packets = self.packets + data.packets - before.packets;
            queued.work = Work::Request(data);
        }
    }

    /// Whether the request to serve next is an opening packet.
    pub(crate) fn is_opening_next(&self) -> bool {
        let first = self.queue.iter().next();
        first.is_some_and(|(_, waiting)| waiting.work.is_opening())
    }

    /// Removes the request to serve next.
    pub(crate) fn pop(&mut self) -> Option<(FlowKey, Queued)> {
        let waiting = self.queue.pop();
        self.taken(waiting)
    }

    /// Removes the request to serve next if its rank is better than this one.
    pub(crate) fn pop_before(&mut self, rank: Rank) -> Option<(FlowKey, Queued)> {
        if self.best_rank()? < rank {
            self.pop()
        } else {
            None
        }
    }

    /// Removes a request that is served out of turn.
    pub(crate) fn serve(&mut self, flow: &FlowKey) -> Option<(FlowKey, Queued)> {
        let waiting = self.queue.serve(flow);
        self.taken(waiting)
    }

    /// Removes a request that is served no more.
    pub(crate) fn withdraw(&mut self, flow: &FlowKey) -> Option<(FlowKey, Queued)> {
        let waiting = self.queue.withdraw(flow);
        self.taken(waiting)
    }

    /// Removes a refused opening packet; the caller's next request takes its place.
    pub(crate) fn refuse(&mut self, now: Time, flow: &FlowKey) -> Option<(FlowKey, Queued)> {
        let waiting = self.queue.refuse(now, flow);
        self.taken(waiting)
    }

    /// Records the refusal of an opening packet that is not queued.
    pub(crate) fn refuse_new(&mut self, now: Time, rank: Rank, caller: Caller) {
        self.queue.refuse_new(now, rank, caller);
    }

    /// Number of queued requests of a caller in one rank.
    pub(crate) fn waiting_of(&self, rank: Rank, caller: Caller) -> usize {
        self.queue.waiting_of(rank, caller)
    }

    /// The opening packet to refuse if not all requests can be served in time.
    ///
    /// `wait` is the expected wait of a request by its rank and the number of queued ones before it. Only the
    /// request of `flow` and those behind it are checked, which it delays.
    pub(crate) fn excess(
        &self,
        now: Time,
        flow: &FlowKey,
        wait: impl Fn(Rank, usize) -> Span,
        in_progress: impl Fn(Rank, Caller) -> usize,
    ) -> Option<FlowKey> {
        let ordered = self.queue.iter().enumerate();
        let mut affected = ordered.skip_while(|(_, (_, waiting))| waiting.key != *flow);
        let late = affected.find(|(ahead, (place, waiting))| {
            let queued = &waiting.work;
            queued.is_opening() && now + wait(place.rank, *ahead) > queued.deadline
        });
        let full = || self.queue.iter().next_back().filter(|_| self.is_full());
        let last: Place = match late {
            Some((_, (place, _))) => *place,
            None => *full()?.0,
        };
        self.queue.excess(last, Queued::is_opening, in_progress)
    }

    /// Adds a time to the waits of all opening packets.
    pub(crate) fn age_openings(&mut self, span: Span) {
        for flow in self.flows(true) {
            if let Some(queued) = self.queue.get_mut(&flow) {
                queued.deadline = queued.deadline - span;
                queued.abandoned_at = queued.abandoned_at.map(|end| end - span);
                self.next_deadline = Some(earliest(self.next_deadline, queued.deadline));
            }
        }
    }

    /// Flows whose callers have given them up; there are some only if the process did not run.
    pub(crate) fn given_up(&self, now: Time) -> Vec<FlowKey> {
        if self.next_deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        let waiting = self.queue.iter().map(|(_, waiting)| waiting);
        let given_up = |queued: &Queued| queued.abandoned_at.is_some_and(|end| end <= now);
        waiting
            .filter(|waiting| given_up(&waiting.work))
            .map(|waiting| waiting.key)
            .collect()
    }

    /// Flows of the requests that have waited too long, in the order of service.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<(FlowKey, Rank)> {
        if self.next_deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.next_deadline = None;
        for (place, waiting) in self.queue.iter() {
            let deadline = waiting.work.deadline;
            if deadline <= now {
                expired.push((waiting.key, place.rank));
            } else {
                let earliest = self
                    .next_deadline
                    .map_or(deadline, |next| next.min(deadline));
                self.next_deadline = Some(earliest);
            }
        }
        expired
    }

    /// Flows of the queued opening packets, or of the queued requests on open flows.
    pub(crate) fn flows(&self, openings: bool) -> Vec<FlowKey> {
        let ordered = self.queue.iter().map(|(_, waiting)| waiting);
        ordered
            .filter(|waiting| waiting.work.is_opening() == openings)
            .map(|waiting| waiting.key)
            .collect()
    }

    fn taken(&mut self, waiting: Option<Waiting<FlowKey, Queued>>) -> Option<(FlowKey, Queued)> {
        let waiting = waiting?;
        if let Work::Request(data) = waiting.work.work {
            self.packets -= data.packets;
        }
        Some((waiting.key, waiting.work))
    }
}

fn earliest(known: Option<Time>, deadline: Time) -> Time {
    known.map_or(deadline, |known| known.min(deadline))
}
