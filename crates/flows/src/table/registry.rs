use std::net::SocketAddrV4;

use usher_types::{FlowId, Register, Registered, Span, Time};

use super::FlowTable;
use crate::directory::Basis;
use crate::flow::Held;
use crate::{Action, Counter};

const RETRY: Span = Span::from_millis(500);
// 16 registrations each 100 ms keep control traffic near 10 KB/s while all flows register.
const ROUND: Span = Span::from_millis(100);
const PER_ROUND: usize = 16;

impl FlowTable {
    /// Registers a flow that is open here, unless its bucket is this agent's.
    pub(super) fn register_own(&mut self, now: Time, flow: FlowId) {
        self.register_holder(now, flow, self.settings.agent);
    }

    /// Tells the bucket's owner who holds a flow, until it acknowledges.
    pub(super) fn register_holder(&mut self, now: Time, flow: FlowId, holder: SocketAddrV4) {
        let owner = self.owner_of(&flow);
        if owner.is_none_or(|owner| owner == self.settings.agent || owner == holder) {
            return self.unregister(&flow);
        }
        self.registrations.insert(flow, holder);
        self.send_register(now, flow);
    }

    /// Registers every open flow of another agent's buckets, at a bounded rate.
    pub(super) fn register_all(&mut self, now: Time) {
        let open: Vec<FlowId> = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held, Held::Open(_)))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in open {
            if self.owner_of(&flow) == Some(self.settings.agent) {
                self.unregister(&flow);
            } else {
                self.registrations.insert(flow, self.settings.agent);
                self.register.set(flow, now);
            }
        }
    }

    pub(super) fn unregister(&mut self, flow: &FlowId) {
        self.registrations.swap_remove(flow);
        self.register.clear(flow);
    }

    pub(super) fn register_due(&mut self, now: Time) {
        if now < self.pace {
            return;
        }
        for _ in 0..PER_ROUND {
            match self.register.pop(now) {
                Some(flow) => self.send_register(now, flow),
                None => break,
            }
        }
        self.pace = now + ROUND;
    }

    fn send_register(&mut self, now: Time, flow: FlowId) {
        let Some(holder) = self.registrations.get(&flow).copied() else {
            return;
        };
        match self.owner_of(&flow) {
            Some(owner) if owner == self.settings.agent || owner == holder => {
                self.unregister(&flow);
            }
            Some(owner) => {
                self.push_register(owner, flow, holder);
                self.register.set(flow, now + RETRY);
            }
            None => self.register.set(flow, now + RETRY),
        }
    }

    fn push_register(&mut self, to: SocketAddrV4, flow: FlowId, holder: SocketAddrV4) {
        let roster = self.membership.version();
        let register = Register {
            flow,
            holder,
            roster,
        };
        self.actions.push(Action::Register { to, register });
    }

    /// Tells the bucket's owner once that a flow held here has ended, by naming the owner itself.
    ///
    /// A lost message costs the owner a directory entry until it expires.
    pub(super) fn retire_at_owner(&mut self, flow: FlowId) {
        match self.owner_of(&flow) {
            Some(owner) if owner != self.settings.agent => self.push_register(owner, flow, owner),
            _ => {}
        }
    }

    /// Handles a registration as the owner of the bucket.
    pub(super) fn registration(&mut self, now: Time, from: SocketAddrV4, register: &Register) {
        let Register {
            flow,
            holder,
            roster,
        } = *register;
        let owner = self.owner_of(&flow);
        if owner != Some(self.settings.agent) && self.membership.version() > roster {
            // The sender will learn the newer roster and register with the owner.
            return;
        }
        if holder == self.settings.agent {
            return self.directory.retire(now, &flow, from);
        }
        let named = match self.held.get(&flow) {
            Some(Held::Open(_)) => self.settings.agent,
            Some(Held::Moving(moving)) => moving.to(),
            Some(Held::Closing(_)) => holder,
            None => self.record(now, from, register),
        };
        self.start_sweep(now);
        let registered = Registered {
            flow,
            holder: named,
        };
        self.actions.push(Action::Registered {
            to: from,
            registered,
        });
    }

    /// Sets the holder of a flow, unless another member registered first; returns who holds it.
    fn record(&mut self, now: Time, from: SocketAddrV4, register: &Register) -> SocketAddrV4 {
        let Register {
            flow,
            holder,
            roster,
        } = *register;
        if let Some(entry) = self.directory.find(now, &flow) {
            let is_rival = entry.holder != holder && entry.holder != from;
            let is_member = self.membership.host_at(entry.holder).is_some();
            if entry.basis == Basis::Confirmed && is_rival && is_member {
                return entry.holder;
            }
        }
        let until = now + self.settings.idle;
        self.directory
            .set(flow, holder, Basis::Confirmed, roster, until);
        holder
    }

    /// Handles the owner's answer to a registration.
    pub(super) fn registered(&mut self, from: SocketAddrV4, registered: &Registered) {
        let Registered { flow, holder } = *registered;
        let Some(wanted) = self.registrations.get(&flow).copied() else {
            return;
        };
        if self.owner_of(&flow) != Some(from) {
            return;
        }
        if wanted != self.settings.agent || holder == wanted {
            return self.unregister(&flow);
        }
        let Some(open) = self.open_flow(&flow) else {
            return self.unregister(&flow);
        };
        // The owner has not heard yet that the named agent handed the flow to this one.
        if open.view().source() == Some(holder) {
            return;
        }
        self.unregister(&flow);
        self.count(Counter::Conflict);
        self.yields.insert(flow, holder);
        self.queue_if_leaving(flow);
    }
}
