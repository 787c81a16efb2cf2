use std::net::SocketAddrV4;

use usher_types::{FlowId, Span, Time};

use super::{FlowTable, SWEEPS_PER_IDLE};
use crate::directory::Basis;
use crate::flow::{Flow, StoredFlow};
use crate::{Action, Counter, FlowLocation, FlowState, Transfer};

const PASS_ON_DELAY: Span = Span::from_millis(500);

impl FlowTable {
    /// Takes over flows and tombstones of another agent and acknowledges them.
    pub(super) fn take_over(&mut self, now: Time, transfer: Transfer) {
        let from = transfer.from;
        // A repeated transfer must not restore flows that were handed on since the first one.
        if let Some((number, flows)) = self.answered_transfers.get(&from)
            && *number == transfer.number
        {
            let flows = flows.clone();
            return self.actions.push(Action::TookOver { flows });
        }
        let mut flows = Vec::with_capacity(transfer.flows.len());
        for state in transfer.flows {
            let flow = state.flow;
            // A drained agent may exit at any time, so it takes over no flows.
            if !self.drained && self.take_flow(now, from, state) {
                flows.push(flow);
            }
        }
        for location in transfer.directory {
            self.take_location(now, location);
        }
        for flow in transfer.closed {
            if !self.held.contains_key(&flow) {
                self.add_tombstone(now, flow, Flow::new(now).close());
            }
            // While draining, leave it unacknowledged: agents with old rosters that drain at the
            // same time would send a tombstone only to each other.
            if !self.draining {
                flows.push(flow);
            }
        }
        self.answered_transfers
            .insert(from, (transfer.number, flows.clone()));
        self.actions.push(Action::TookOver { flows });
    }

    fn take_flow(&mut self, now: Time, from: SocketAddrV4, state: FlowState) -> bool {
        let flow = state.flow;
        match self.held.get(&flow) {
            Some(StoredFlow::Tombstone(_)) => return true,
            Some(StoredFlow::Moving(moving))
                if moving.to() == from && self.settings.agent < from =>
            {
                // Both agents hand the flow to each other; the one with the lower address keeps it.
                self.remove_from_transfers(&flow);
                self.unfreeze(flow);
            }
            Some(StoredFlow::Moving(_)) => return false,
            Some(StoredFlow::Open(_)) if self.handover_targets.get(&flow) == Some(&from) => {
                self.handover_targets.swap_remove(&flow);
            }
            Some(StoredFlow::Open(_)) => {}
            None => self.adopt_flow(now, from, flow),
        }
        self.merge(now, state);
        // Without a delay, draining agents with old rosters would hand a flow back and forth.
        self.requeue_timers.set(flow, now + PASS_ON_DELAY);
        true
    }

    fn adopt_flow(&mut self, now: Time, from: SocketAddrV4, flow: FlowId) {
        // A repeated transfer may arrive after this agent has handed the flow over.
        if let Some(entry) = self.directory.find(now, &flow)
            && entry.basis == Basis::Confirmed
            && entry.holder != from
            && self.membership.host_at(entry.holder).is_some()
        {
            self.handover_targets.insert(flow, entry.holder);
        }
        self.directory.remove(&flow);
        self.held.insert(flow, StoredFlow::Open(Flow::new(now)));
        self.start_sweep(now);
        self.count(Counter::TakenOver);
        self.register_own(now, flow);
    }

    fn merge(&mut self, now: Time, state: FlowState) {
        let flow = state.flow;
        let Some(open) = self.open_flow(&flow) else {
            return;
        };
        open.raise_sequence(state.sequence);
        open.state().inbox.merge_done(&state.done);
        let mut resent = Vec::new();
        for unacked in state.unacked {
            resent.extend(open.state().outbox.restore(now, unacked));
        }
        self.send_segments(flow, resent);
        self.schedule_resend(flow);
        for segment in state.segments {
            self.accept_segment(flow, segment);
        }
    }

    fn remove_from_transfers(&mut self, flow: &FlowId) {
        for outgoing in self.outgoing_transfers.values_mut() {
            outgoing.flows.retain(|moving| moving != flow);
        }
    }

    fn take_location(&mut self, now: Time, location: FlowLocation) {
        let FlowLocation { flow, holder } = location;
        let is_known = self.held.contains_key(&flow) || self.directory.find(now, &flow).is_some();
        if holder != self.settings.agent && !is_known {
            let until = now + self.settings.idle;
            let roster = self.membership.version();
            self.directory
                .set(flow, holder, Basis::Confirmed, roster, until);
            self.start_sweep(now);
        }
    }

    /// Schedules the periodic sweep if it is not scheduled already.
    pub(super) fn start_sweep(&mut self, now: Time) {
        if self.next_sweep <= now {
            self.next_sweep = now + self.settings.idle.scale(1.0 / SWEEPS_PER_IDLE as f64);
        }
    }
}
