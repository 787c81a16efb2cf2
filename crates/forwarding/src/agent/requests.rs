//! Requests that wait for a slot: opening packets, and requests on open flows.

use usher_queueing::{Caller, Rank};
use usher_types::{Span, Time};

use super::decision::{ForwardReason, Inbound, InboundAction, Refusal, Release};
use super::entry::{Delivery, Phase, Terms};
use super::forward::refuse_queued;
use super::forwarder::AgentForwarder;
use super::held_data::HeldData;
use super::openings::{EXTRA_REQUESTS, EXTRA_REQUESTS_BUSY};
use super::rank_counts::RankCounts;
use super::wait_queue::{Queued, WaitQueue, Work};
use crate::{FlowKey, ForwardHeader, HostState, PacketHeader};

/// Whether the slots are shared among callers.
///
/// They are where the routes of the service have more than one rank, or its flows carry more than
/// one request. Elsewhere opening packets of one rank are served in the order of arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Sharing {
    /// No opening packet has arrived.
    #[default]
    Unknown,
    /// All opening packets had this rank, and no flow has carried a second request.
    OneRank(Rank),
    /// By rank and caller.
    Shared,
}

impl Sharing {
    fn with_opening(self, rank: Rank) -> Self {
        match self {
            Self::Unknown => Self::OneRank(rank),
            Self::OneRank(known) if known == rank => self,
            Self::OneRank(_) | Self::Shared => Self::Shared,
        }
    }

    fn caller(self, flow: &FlowKey) -> Caller {
        match self {
            Self::Shared => Caller::new(*flow.caller.ip()),
            Self::Unknown | Self::OneRank(_) => Caller::ANY,
        }
    }
}

impl AgentForwarder {
    /// Removes flows from the queue that get a slot or have waited too long.
    ///
    /// Opening packets that have waited too long are refused, or dropped once the caller has given them
    /// up: its flow may be open at another host. Packets of open flows are delivered,
    /// behind the waiting requests of better ranks: the backend server serves what it has in the
    /// order of arrival, so these would otherwise wait longer than the late one.
    pub fn release(&mut self, now: Time) -> Vec<Release> {
        for flow in self.wait_queue.given_up(now) {
            self.drop_given_up(flow);
        }
        let serving = self.state() == HostState::Serving;
        if !serving {
            for flow in self.wait_queue.flows(true) {
                self.refuse_opening(now, &flow);
            }
        }
        let obstacle = self.obstacle(now);
        if let Some(reason) = obstacle.filter(|reason| *reason != ForwardReason::Outdated) {
            for flow in self.wait_queue.flows(true) {
                self.pass_queued_opening(now, &flow, reason);
            }
        }
        for (flow, rank) in self.wait_queue.expired(now) {
            if self.wait_queue.held(&flow).is_none() {
                self.refuse_opening(now, &flow);
                continue;
            }
            while (self.may_open(now) || !self.wait_queue.is_opening_next())
                && let Some((better, queued)) = self.wait_queue.pop_before(rank)
            {
                self.deliver_queued(now, better, &queued, Delivery::Forced);
            }
            self.release_request(now, &flow);
        }
        while let Some(rank) = self.wait_queue.best_rank()
            && self.has_room(now, rank, EXTRA_REQUESTS_BUSY)
            && (self.may_open(now) || !self.wait_queue.is_opening_next())
            && let Some((flow, queued)) = self.wait_queue.pop()
        {
            self.deliver_queued(now, flow, &queued, Delivery::InTurn);
        }
        std::mem::take(&mut self.released)
    }

    /// Counts a suspension of the machine, which the times of other calls leave out, as a wait of the queued
    /// opening packets.
    pub fn on_suspension(&mut self, span: Span) {
        self.wait_queue.age_openings(span);
    }

    /// Whether a flow has left the queue, so that [`Self::release`] is due at once.
    pub fn has_released(&self) -> bool {
        !self.released.is_empty()
    }

    /// Requests that waited, and opening packets that were refused for lack of room, by rank.
    pub fn rank_counts(&self) -> &RankCounts {
        &self.rank_counts
    }

    /// Decides on a packet of a flow whose backend server is known, as far as it waits.
    ///
    /// Returns `None` if the packet is delivered.
    pub(super) fn on_open_flow(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Option<Inbound> {
        let flow = packet_header.inbound();
        if self.wait_queue.contains(&flow) {
            return self.on_waiting_flow(now, packet_header, forward_header);
        }
        let entry = self.flows.get(&flow)?;
        if entry.phase != Phase::Open
            || entry.is_idle(now)
            || !entry.begins_request(now, packet_header)
        {
            return None;
        }
        let terms = entry.terms;
        self.set_sharing(Sharing::Shared);
        // Without the flow's opening packet its rank is not known.
        let Terms { rank, target } = terms?;
        let caller = self.sharing.caller(&flow);
        let waits = self.wait_queue.has_rank(rank)
            || (!self.has_room(now, rank, EXTRA_REQUESTS) && self.flows.has_rank(now, rank));
        if !waits || self.wait_queue.is_full_of_packets() || self.wait_queue.is_full() {
            self.wait_queue.start(now, rank, caller);
            return None;
        }
        let data = HeldData::new(packet_header);
        self.wait_queue
            .push_request(now, (flow, data), (rank, caller), forward_header, target);
        self.rank_counts.add_waited(rank);
        self.shed(now, &flow);
        self.flows
            .update(&flow, |entry| entry.on_held(now, packet_header));
        Some(self.with_notice(InboundAction::Hold, forward_header))
    }

    /// Queues an opening packet, or refuses one if not all can be served in time.
    pub(super) fn queue_opening(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let (flow, sequence) = (packet_header.inbound(), packet_header.sequence);
        let caller = self.caller(&flow, forward_header);
        let life = packet_header.opening_life();
        let max_wait = WaitQueue::max_wait(forward_header, self.load(now).work(), life);
        let waits = (max_wait, life);
        self.wait_queue
            .push_opening(now, (flow, sequence), caller, forward_header, waits);
        self.shed(now, &flow);
        let own = self.released.pop_if(|release| release.flow == flow);
        if let Some(own) = own {
            return own.inbound;
        }
        self.rank_counts.add_waited(Rank::new(forward_header.rank));
        // Copies of the packet have to be sent here too, or the flow would open twice.
        self.with_notice(InboundAction::Hold, forward_header)
    }

    /// The caller that an opening packet counts for.
    pub(super) fn caller(&mut self, flow: &FlowKey, forward_header: &ForwardHeader) -> Caller {
        let rank = Rank::new(forward_header.rank);
        self.set_sharing(self.sharing.with_opening(rank));
        self.sharing.caller(flow)
    }

    /// Delivers an opening packet that does not wait.
    pub(super) fn admit_at_once(
        &mut self,
        now: Time,
        flow: FlowKey,
        sequence: u32,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let caller = self.caller(&flow, forward_header);
        let rank = Rank::new(forward_header.rank);
        self.wait_queue.start(now, rank, caller);
        self.admit(now, flow, sequence, forward_header)
    }

    /// Notes the refusal of an opening packet that no agent takes.
    pub(super) fn with_refusal(
        &mut self,
        now: Time,
        rank: Rank,
        caller: Caller,
        mut inbound: Inbound,
    ) -> Inbound {
        if let InboundAction::Refuse { refusal, .. } = &mut inbound.action {
            *refusal = Some(self.refusal(now, rank, caller));
            self.wait_queue.refuse_new(now, rank, caller);
            self.rank_counts.add_refused(rank);
        }
        inbound
    }

    /// Delivers the held packets of a flow, or drops them if the flow is lost.
    pub(super) fn release_request(&mut self, now: Time, flow: &FlowKey) {
        if self.wait_queue.held(flow).is_some()
            && let Some((flow, queued)) = self.wait_queue.serve(flow)
        {
            self.deliver_queued(now, flow, &queued, Delivery::Forced);
        }
    }

    /// Delivers or drops the held packets of all open flows.
    pub(super) fn release_requests(&mut self, now: Time) {
        for flow in self.wait_queue.flows(false) {
            self.release_request(now, &flow);
        }
    }

    fn set_sharing(&mut self, sharing: Sharing) {
        if sharing == Sharing::Shared && self.sharing != Sharing::Shared {
            self.wait_queue.begin_sharing();
        }
        self.sharing = sharing;
    }

    // A packet of a flow that has held packets.
    fn on_waiting_flow(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Option<Inbound> {
        let flow = packet_header.inbound();
        let held = self.wait_queue.held(&flow)?;
        if packet_header.flags.resetting {
            self.wait_queue.withdraw(&flow);
            self.drop_held(flow);
            return None;
        }
        let carries = packet_header.data > 0 || packet_header.flags.finishing;
        let delivered = self.flows.get(&flow)?.was_delivered(packet_header);
        if !carries || delivered {
            return None;
        }
        let Some(data) = held.with(packet_header) else {
            return Some(Inbound::of(InboundAction::Drop));
        };
        self.flows
            .update(&flow, |entry| entry.on_held(now, packet_header));
        self.wait_queue.set_held(&flow, data);
        if self.wait_queue.is_full_of_packets() {
            self.release_request(now, &flow);
        }
        Some(self.with_notice(InboundAction::Hold, forward_header))
    }

    // Refuses queued opening packets while the queued request of `flow` or one behind it cannot be
    // served in time.
    fn shed(&mut self, now: Time, flow: &FlowKey) {
        loop {
            let excess = self.wait_queue.excess(
                now,
                flow,
                |rank, ahead| self.wait_behind(now, rank, ahead),
                |rank, caller| self.flows.working_of(now, rank, caller),
            );
            let Some(excess) = excess else {
                return;
            };
            self.refuse_opening(now, &excess);
        }
    }

    // Whether the host may take a queued opening packet now.
    fn may_open(&self, now: Time) -> bool {
        self.obstacle(now).is_none() && self.is_below_cold_rate(now)
    }

    // Passes a queued opening packet on from an evacuated data centre.
    fn pass_queued_opening(&mut self, now: Time, flow: &FlowKey, reason: ForwardReason) {
        if let Some((flow, queued)) = self.wait_queue.withdraw(flow) {
            let inbound = self.pass_evacuated(now, flow, &queued.header, reason);
            self.released.push(Release { flow, inbound });
        }
    }

    fn refuse_opening(&mut self, now: Time, flow: &FlowKey) {
        let Some(queued) = self.wait_queue.get(flow) else {
            return;
        };
        let rank = Rank::new(queued.header.rank);
        let caller = self.sharing.caller(flow);
        let refusal = self.refusal(now, rank, caller);
        self.wait_queue.refuse(now, flow);
        self.rank_counts.add_refused(rank);
        self.released.push(refuse_queued(*flow, refusal));
    }

    fn refusal(&self, now: Time, rank: Rank, caller: Caller) -> Refusal {
        let in_progress = self.flows.working_of(now, rank, caller);
        Refusal {
            rank,
            share: in_progress + self.wait_queue.waiting_of(rank, caller),
            total: self.flows.working(now) + self.wait_queue.len(),
        }
    }

    fn deliver_queued(&mut self, now: Time, flow: FlowKey, queued: &Queued, delivery: Delivery) {
        let inbound = match &queued.work {
            Work::Opening { sequence } => self.admit(now, flow, *sequence, &queued.header),
            Work::Request(data) => {
                let phase = self.flows.update(&flow, |entry| {
                    entry.on_released(now, data, delivery);
                    entry.phase
                });
                match phase {
                    None => return self.drop_held(flow),
                    Some(Phase::Open | Phase::Closed) => Inbound::of(InboundAction::Deliver {
                        token: 0,
                        opening: false,
                    }),
                    Some(_) => self.deliver_unsettled(now, flow, &queued.header, false),
                }
            }
        };
        self.released.push(Release { flow, inbound });
    }

    fn drop_given_up(&mut self, flow: FlowKey) {
        if self.wait_queue.withdraw(&flow).is_some() {
            self.drop_held(flow);
        }
    }

    fn drop_held(&mut self, flow: FlowKey) {
        let inbound = Inbound::of(InboundAction::Drop);
        self.released.push(Release { flow, inbound });
    }
}
