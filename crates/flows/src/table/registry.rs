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

// Agents asked in a row; handovers chain no longer while one registration is retried.
const MAX_ASKED: u8 = 4;

/// Another agent that may hold a flow that is open here.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rival {
    agent: SocketAddrV4,
    asked: u8,
}

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
        self.rivals.swap_remove(flow);
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
        let is_known = self.held.contains_key(&flow) || self.directory.find(now, &flow).is_some();
        let is_older = self.membership.version() > roster;
        if owner != Some(self.settings.agent) && is_older && !is_known {
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

    /// Handles the answer to a registration.
    ///
    /// The owner may not have heard yet that the agent it names handed the flow over. That agent
    /// is asked before this one gives its state away, or the flow would circulate between them.
    pub(super) fn registered(&mut self, now: Time, from: SocketAddrV4, registered: &Registered) {
        let Registered { flow, holder } = *registered;
        let own = self.settings.agent;
        let is_owner = self.owner_of(&flow) == Some(from);
        let asked = self.rivals.get(&flow).copied();
        let is_asked = asked.is_some_and(|rival| rival.agent == from);
        let Some(wanted) = self.registrations.get(&flow).copied() else {
            return;
        };
        if wanted != own || (holder == own && is_owner) {
            if is_owner {
                self.unregister(&flow);
            }
        } else if holder == own {
            self.rivals.swap_remove(&flow);
        } else if holder == from && (is_owner || is_asked) {
            self.yield_to(flow, holder);
        } else if is_owner {
            self.ask(now, flow, holder, 0);
        } else if let Some(rival) = asked
            && is_asked
        {
            self.ask(now, flow, holder, rival.asked);
        }
    }

    fn ask(&mut self, now: Time, flow: FlowId, agent: SocketAddrV4, asked: u8) {
        if asked >= MAX_ASKED || self.open_flow(&flow).is_none() {
            self.rivals.swap_remove(&flow);
            return;
        }
        let rival = Rival {
            agent,
            asked: asked + 1,
        };
        self.rivals.insert(flow, rival);
        self.push_register(agent, flow, self.settings.agent);
        // Asks the owner again later whatever the answer is.
        self.register.set(flow, now + RETRY);
    }

    fn yield_to(&mut self, flow: FlowId, holder: SocketAddrV4) {
        self.unregister(&flow);
        if self.open_flow(&flow).is_some() {
            self.count(Counter::Conflict);
            self.yields.insert(flow, holder);
            self.queue_if_leaving(flow);
        }
    }
}
