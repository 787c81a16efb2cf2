use std::net::SocketAddrV4;

use usher_types::{FlowId, Span, Time};

use super::{FlowTable, SWEEPS_PER_IDLE};
use crate::directory::Basis;
use crate::flow::{Flow, Held};
use crate::{Action, Counter, FlowState, Located, Transfer};

const PASS_ON: Span = Span::from_millis(500);

impl FlowTable {
    /// Takes over the flows and tombstones of another agent and lists those it need not keep.
    pub(super) fn take_over(&mut self, now: Time, transfer: Transfer) {
        let from = transfer.from;
        // A repeated transfer must not bring back flows that have moved on since.
        if let Some((number, flows)) = self.taken.get(&from)
            && *number == transfer.number
        {
            let flows = flows.clone();
            return self.actions.push(Action::TookOver { flows });
        }
        let mut flows = Vec::with_capacity(transfer.flows.len());
        for state in transfer.flows {
            let flow = state.flow;
            // A drained agent may exit at any time.
            if !self.drained && self.take_flow(now, from, state) {
                flows.push(flow);
            }
        }
        for located in transfer.directory {
            self.take_located(now, located);
        }
        for flow in transfer.closed {
            if !self.held.contains_key(&flow) {
                self.bury(now, flow, Flow::new(now).close());
            }
            // Draining agents with old rosters would send a tombstone only to each other.
            if !self.draining {
                flows.push(flow);
            }
        }
        self.taken.insert(from, (transfer.number, flows.clone()));
        self.actions.push(Action::TookOver { flows });
    }

    fn take_flow(&mut self, now: Time, from: SocketAddrV4, state: FlowState) -> bool {
        let flow = state.flow;
        match self.held.get(&flow) {
            Some(Held::Closing(_)) => return true,
            Some(Held::Moving(moving)) if moving.to() == from && self.settings.agent < from => {
                // Both agents hand the flow to each other; the lower address keeps it.
                self.leave_transits(&flow);
                self.thaw(flow);
            }
            Some(Held::Moving(_)) => return false,
            Some(Held::Open(_)) if self.yields.get(&flow) == Some(&from) => {
                self.yields.swap_remove(&flow);
            }
            Some(Held::Open(_)) => {}
            None => self.adopt_flow(now, from, flow),
        }
        self.merge(now, state);
        // Draining agents with old rosters would hand a flow back and forth without a pause.
        self.deferred.set(flow, now + PASS_ON);
        true
    }

    fn adopt_flow(&mut self, now: Time, from: SocketAddrV4, flow: FlowId) {
        // A repeated transfer may come after this agent has passed the flow on.
        if let Some(entry) = self.directory.find(now, &flow)
            && entry.basis == Basis::Confirmed
            && entry.holder != from
            && self.membership.host_at(entry.holder).is_some()
        {
            self.yields.insert(flow, entry.holder);
        }
        self.directory.remove(&flow);
        self.held.insert(flow, Held::Open(Flow::new(now)));
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
        for output in state.output {
            resent.extend(open.state().outbox.restore(now, output));
        }
        self.send_segments(flow, resent);
        self.schedule_resend(flow);
        for segment in state.segments {
            self.accept_segment(flow, segment);
        }
    }

    fn leave_transits(&mut self, flow: &FlowId) {
        for transit in self.transits.values_mut() {
            transit.flows.retain(|moving| moving != flow);
        }
    }

    fn take_located(&mut self, now: Time, located: Located) {
        let Located { flow, holder } = located;
        let is_known = self.held.contains_key(&flow) || self.directory.find(now, &flow).is_some();
        if holder != self.settings.agent && !is_known {
            let until = now + self.settings.idle;
            let roster = self.membership.version();
            self.directory
                .set(flow, holder, Basis::Confirmed, roster, until);
            self.start_sweep(now);
        }
    }

    /// Starts the periodic sweep with the first flow or directory entry.
    pub(super) fn start_sweep(&mut self, now: Time) {
        if self.sweep <= now {
            self.sweep = now + self.settings.idle.scale(1.0 / SWEEPS_PER_IDLE as f64);
        }
    }
}
