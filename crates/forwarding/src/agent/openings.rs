//! Opening packets: whether the host takes, queues, passes on or refuses them.

use usher_queueing::Caller;
use usher_types::{Rank, Slots, Span, Time};

use super::decision::{ForwardReason, Inbound, InboundAction};
use super::entry::{Entry, Terms};
use super::forward::{restart_opening, route_opening};
use super::forwarder::AgentForwarder;
use super::pending_deliveries::Delivery;
use super::wait_queue::WaitQueue;
use crate::forward_header::ShortestQueue;
use crate::packet_header::ATTEMPT_TIME;
use crate::{FlowKey, ForwardHeader, HostState, PacketHeader};

// Requests beyond the slots that a backend server gets while other hosts may be free. The next
// request then starts without waiting for the caller's part of the handshake.
pub(super) const EXTRA_REQUESTS: u16 = 1;
// The same while all hosts are busy. A slot that is idle during a handshake costs more than a short
// queue at the backend server.
pub(super) const EXTRA_REQUESTS_BUSY: u16 = 2;
// The same for the opening packet of a flow that another host has got too.
pub(super) const EXTRA_REQUESTS_REPEATED: u16 = 0;

impl AgentForwarder {
    pub(super) fn on_opening(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let (flow, sequence) = (packet_header.inbound(), packet_header.sequence);
        if forward_header.service != self.service {
            return self.forward_opening(
                now,
                flow,
                forward_header,
                None,
                ForwardReason::OtherService,
            );
        }
        if self.state() != HostState::Serving {
            return self.forward_opening(
                now,
                flow,
                forward_header,
                None,
                ForwardReason::NotServing,
            );
        }
        if let Some(reason) = self.evacuation.obstacle(now) {
            return self.pass_evacuated(now, flow, forward_header, reason);
        }
        if self.wait_queue.contains(&flow) {
            return Inbound::of(InboundAction::Drop);
        }
        let overdue = self.is_overdue(now);
        if !forward_header.is_final && self.monitor.is_silent(now, overdue) {
            return self.forward_opening(now, flow, forward_header, None, ForwardReason::Silent);
        }
        self.cold_limit.set_rate(forward_header.cold_rate);
        if !self.is_below_cold_rate(now) {
            return self.forward_opening(now, flow, forward_header, None, ForwardReason::Cold);
        }
        let rank = Rank::new(forward_header.rank);
        if !self.wait_queue.has_rank(rank) && self.has_room(now, rank, EXTRA_REQUESTS) {
            return self.admit_at_once(now, flow, sequence, forward_header);
        }
        let caller = self.caller(&flow, forward_header);
        let wait = self.wait(now, rank, caller);
        if !forward_header.is_final {
            let busy = ForwardReason::Busy;
            let inbound = self.forward_opening(now, flow, forward_header, Some(wait), busy);
            return self.with_refusal(now, rank, caller, inbound);
        }
        if !self.wait_queue.has_rank(rank) && self.has_room(now, rank, EXTRA_REQUESTS_BUSY) {
            return self.admit_at_once(now, flow, sequence, forward_header);
        }
        self.queue_opening(now, packet_header, forward_header)
    }

    // Expected time until a new flow of this rank gets a slot.
    fn wait(&self, now: Time, rank: Rank, caller: Caller) -> Span {
        let queued = self.wait_queue.ahead(now, rank, caller);
        self.wait_behind(now, rank, queued)
    }

    // Expected time until a flow of this rank gets a slot that has this many queued ones before it.
    pub(super) fn wait_behind(&self, now: Time, rank: Rank, queued: usize) -> Span {
        let ahead = self.flows.working_before(now, rank) + queued;
        self.monitor.load(ahead).wait(self.slots())
    }

    pub(super) fn forward_opening(
        &self,
        now: Time,
        flow: FlowKey,
        forward_header: &ForwardHeader,
        wait: Option<Span>,
        reason: ForwardReason,
    ) -> Inbound {
        let node = self.node;
        let own = wait.map(|wait| ShortestQueue { node, wait });
        route_opening(
            flow,
            forward_header,
            own,
            self.max_wait(now, forward_header),
            reason,
        )
    }

    /// Why the host takes no new flow although its backend server serves.
    pub(super) fn obstacle(&self, now: Time) -> Option<ForwardReason> {
        self.evacuation.obstacle(now)
    }

    pub(super) fn pass_evacuated(
        &self,
        now: Time,
        flow: FlowKey,
        forward_header: &ForwardHeader,
        reason: ForwardReason,
    ) -> Inbound {
        let inbound = if forward_header.is_final {
            restart_opening(flow, forward_header, self.node, reason)
        } else {
            self.forward_opening(now, flow, forward_header, None, reason)
        };
        // The agent soon knows whether it may take the flow; the caller repeats its packet.
        let refused = matches!(inbound.action, InboundAction::Refuse { .. });
        if refused && reason == ForwardReason::Outdated {
            return Inbound::of(InboundAction::Drop);
        }
        inbound
    }

    pub(super) fn max_wait(&self, now: Time, forward_header: &ForwardHeader) -> Span {
        WaitQueue::max_wait(forward_header, self.load(now).work(), ATTEMPT_TIME)
    }

    pub(super) fn slots(&self) -> Slots {
        self.lifecycle
            .heartbeat()
            .map_or(Slots::new(1), |heartbeat| heartbeat.slots)
    }

    // Whether the backend server has a slot free for this rank, or will have one by the end of a
    // handshake.
    pub(super) fn has_room(&self, now: Time, rank: Rank, extra: u16) -> bool {
        let room = usize::from(self.slots().get() + extra);
        self.flows.working_before(now, rank) < room && !self.monitor.is_full(now)
    }

    pub(super) fn admit(
        &mut self,
        now: Time,
        flow: FlowKey,
        sequence: u32,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let terms = Terms::of(forward_header);
        self.flows.insert(flow, Entry::opened(now, sequence, terms));
        if self.is_cold(now) {
            self.cold_limit.count(now);
        }
        self.monitor.delivered_opening(now);
        let delivery = Delivery {
            forward_header: *forward_header,
            copied: false,
        };
        let token = self.deliveries.issue_token(flow, delivery);
        let action = InboundAction::Deliver {
            token,
            opening: true,
        };
        self.with_notice(action, forward_header)
    }

    // A host of a data centre that was evacuated may have become cold since its last heartbeat.
    fn is_cold(&self, now: Time) -> bool {
        let heartbeat = self.heartbeat();
        self.evacuation.has_ended()
            || heartbeat.is_some_and(|heartbeat| now < self.heard_at + heartbeat.warmup)
    }

    // Whether the backend server is warm or takes one more flow in this second.
    pub(super) fn is_below_cold_rate(&self, now: Time) -> bool {
        !self.is_cold(now) || self.cold_limit.admits(now)
    }

    // Whether the backend server gets a copy of an opening packet that it has got before.
    pub(super) fn takes_copy(&mut self, now: Time, forward_header: &ForwardHeader) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        self.cold_limit.set_rate(forward_header.cold_rate);
        let takes = self.cold_limit.admits_copy(now);
        if takes {
            self.cold_limit.count(now);
        }
        takes
    }
}
