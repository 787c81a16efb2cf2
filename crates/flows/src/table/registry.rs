use std::net::SocketAddrV4;

use usher_types::{FlowId, Registration, RegistrationAck, Span, Time};

use super::FlowTable;
use crate::directory::Basis;
use crate::flow::StoredFlow;
use crate::{Action, Counter};

const RETRY_INTERVAL: Span = Span::from_millis(500);
// Registrations are sent in batches, so that they load no receiver all at once.
const BATCH_INTERVAL: Span = Span::from_millis(100);
// 16 registrations per 100 ms limit traffic to about 10 KB/s while all flows of a small host
// register.
const MIN_BATCH_SIZE: usize = 16;
// Share of the settle time in which all flows register once; the rest is for repeats. Owners reset
// unknown flows after the settle time.
const REGISTER_SHARE: f64 = 0.5;

// Agents queried in a row; no longer chain of handovers arises while a registration is retried.
const MAX_QUERIES: u8 = 4;

/// Another agent that may hold a flow that is open here.
#[derive(Debug, Clone, Copy)]
pub(super) struct OtherHolder {
    agent: SocketAddrV4,
    /// Number of agents asked so far, including this one.
    query_count: u8,
}

impl FlowTable {
    /// Registers a flow that is open here, unless this agent owns its bucket.
    pub(super) fn register_own(&mut self, now: Time, flow: FlowId) {
        self.register_holder(now, flow, self.settings.agent);
    }

    /// Tells the bucket's owner which agent holds a flow and retries until it acknowledges.
    pub(super) fn register_holder(&mut self, now: Time, flow: FlowId, holder: SocketAddrV4) {
        let owner = self.owner_of(&flow);
        if owner.is_none_or(|owner| owner == self.settings.agent || owner == holder) {
            return self.unregister(&flow);
        }
        self.registrations.insert(flow, holder);
        self.send_registration(now, flow);
    }

    /// Queues registrations of all open flows in other agents' buckets, in batches.
    ///
    /// A flow that still waits since an earlier roster keeps its place in the queue.
    pub(super) fn register_all(&mut self, now: Time) {
        let open: Vec<FlowId> = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held, StoredFlow::Open(_)))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in open {
            if self.owner_of(&flow) == Some(self.settings.agent) {
                self.unregister(&flow);
            } else {
                self.registrations.insert(flow, self.settings.agent);
                self.register_timers.advance(flow, now);
            }
        }
        let time = self.settings.settle.scale(REGISTER_SHARE);
        let batches = (time.as_micros() / BATCH_INTERVAL.as_micros()).max(1) as usize;
        self.batch_size = self.registrations.len().div_ceil(batches);
    }

    pub(super) fn unregister(&mut self, flow: &FlowId) {
        self.registrations.swap_remove(flow);
        self.register_timers.clear(flow);
        self.other_holders.swap_remove(flow);
    }

    pub(super) fn register_due(&mut self, now: Time) {
        if now < self.next_batch {
            return;
        }
        for _ in 0..self.batch_size.max(MIN_BATCH_SIZE) {
            match self.register_timers.pop(now) {
                Some(flow) => self.send_registration(now, flow),
                None => break,
            }
        }
        self.next_batch = now + BATCH_INTERVAL;
    }

    fn send_registration(&mut self, now: Time, flow: FlowId) {
        let Some(holder) = self.registrations.get(&flow).copied() else {
            return;
        };
        match self.owner_of(&flow) {
            Some(owner) if owner == self.settings.agent || owner == holder => {
                self.unregister(&flow);
            }
            Some(owner) => {
                self.register_at(owner, flow, holder);
                self.register_timers.set(flow, now + RETRY_INTERVAL);
            }
            None => self.register_timers.set(flow, now + RETRY_INTERVAL),
        }
    }

    fn register_at(&mut self, to: SocketAddrV4, flow: FlowId, holder: SocketAddrV4) {
        let roster = self.membership.version();
        let registration = Registration {
            flow,
            holder,
            roster,
        };
        self.actions.push(Action::Registration { to, registration });
    }

    /// Tells the bucket's owner that a flow held here has ended.
    ///
    /// The registration names the owner itself as holder and is sent once. If it is lost, the
    /// owner keeps a directory entry until that expires.
    pub(super) fn retire_at_owner(&mut self, flow: FlowId) {
        match self.owner_of(&flow) {
            Some(owner) if owner != self.settings.agent => self.register_at(owner, flow, owner),
            _ => {}
        }
    }

    /// Handles a registration as the owner of the bucket.
    pub(super) fn on_registration(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        registration: &Registration,
    ) {
        let Registration {
            flow,
            holder,
            roster,
        } = *registration;
        let owner = self.owner_of(&flow);
        let is_known = self.held.contains_key(&flow) || self.directory.find(now, &flow).is_some();
        let is_older = self.membership.version() > roster;
        if owner != Some(self.settings.agent) && is_older && !is_known {
            // The sender registers with the owner when it learns the newer roster.
            return;
        }
        if holder == self.settings.agent {
            return self.directory.retire(now, &flow, from);
        }
        let known_holder = match self.held.get(&flow) {
            Some(StoredFlow::Open(_)) => self.settings.agent,
            Some(StoredFlow::Moving(moving)) => moving.to(),
            Some(StoredFlow::Tombstone(_)) => holder,
            None => self.record_holder(now, from, registration),
        };
        self.start_sweep(now);
        let registration_ack = RegistrationAck {
            flow,
            holder: known_holder,
        };
        self.actions.push(Action::RegistrationAck {
            to: from,
            registration_ack,
        });
    }

    /// Records the holder of a flow, unless another member registered first; returns the holder.
    fn record_holder(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        registration: &Registration,
    ) -> SocketAddrV4 {
        let Registration {
            flow,
            holder,
            roster,
        } = *registration;
        if let Some(entry) = self.directory.find(now, &flow) {
            let is_different = entry.holder != holder && entry.holder != from;
            let is_member = self.membership.host_at(entry.holder).is_some();
            if entry.basis == Basis::Confirmed && is_different && is_member {
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
    /// The owner may not know yet that the agent it names has handed the flow over. That agent is
    /// asked before this one hands over its state; otherwise the flow would circulate between them.
    pub(super) fn on_registration_ack(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        registration_ack: &RegistrationAck,
    ) {
        let RegistrationAck { flow, holder } = *registration_ack;
        let own = self.settings.agent;
        let is_owner = self.owner_of(&flow) == Some(from);
        let queried = self.other_holders.get(&flow).copied();
        let is_queried = queried.is_some_and(|other_holder| other_holder.agent == from);
        let Some(submitted) = self.registrations.get(&flow).copied() else {
            return;
        };
        if submitted != own || (holder == own && is_owner) {
            if is_owner {
                self.unregister(&flow);
            }
        } else if holder == own {
            self.other_holders.swap_remove(&flow);
        } else if holder == from && (is_owner || is_queried) {
            self.schedule_handover(flow, holder);
        } else if is_owner {
            self.query_holder(now, flow, holder, 0);
        } else if let Some(other_holder) = queried
            && is_queried
        {
            self.query_holder(now, flow, holder, other_holder.query_count);
        }
    }

    fn query_holder(&mut self, now: Time, flow: FlowId, agent: SocketAddrV4, query_count: u8) {
        if query_count >= MAX_QUERIES || self.open_flow(&flow).is_none() {
            self.other_holders.swap_remove(&flow);
            return;
        }
        let other_holder = OtherHolder {
            agent,
            query_count: query_count + 1,
        };
        self.other_holders.insert(flow, other_holder);
        self.register_at(agent, flow, self.settings.agent);
        // The owner is asked again later, whatever this agent answers.
        self.register_timers.set(flow, now + RETRY_INTERVAL);
    }

    fn schedule_handover(&mut self, flow: FlowId, holder: SocketAddrV4) {
        self.unregister(&flow);
        if self.open_flow(&flow).is_some() {
            self.count(Counter::Conflict);
            self.handover_targets.insert(flow, holder);
            self.queue_handover(flow);
        }
    }
}
