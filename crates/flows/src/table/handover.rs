use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use usher_types::{FlowId, HostId, Roster, Span, Time};

use super::FlowTable;
use crate::directory::Basis;
use crate::flow::StoredFlow;
use crate::outgoing_transfer::OutgoingTransfer;
use crate::{Action, Counter, Transfer};

const RETRY_DELAY: Span = Span::from_millis(500);
// Keeps a transfer of idle flows at about 64 KB.
pub(super) const MAX_TRANSFER_FLOWS: usize = 256;

impl FlowTable {
    pub(super) fn adopt_roster(&mut self, now: Time, roster: &Arc<Roster>) {
        let Some(before) = self.membership.adopt(roster) else {
            return;
        };
        let membership = &self.membership;
        let remains = |agent| membership.remains(&before, agent);
        let (buckets, own) = (self.settings.buckets, &self.settings.host);
        let next = |flow: &FlowId| Some(membership.successor(flow, buckets, own)?.1.agent);
        self.directory.retain(roster.version, remains, next);
        self.handover_targets.retain(|_, holder| remains(*holder));
        let departed: Vec<HostId> = self
            .outgoing_transfers
            .keys()
            .filter(|host| {
                !before
                    .members
                    .get(*host)
                    .is_some_and(|member| remains(member.agent))
            })
            .cloned()
            .collect();
        for host in departed {
            self.cancel_transfer(&host);
        }
        self.register_all(now);
    }

    pub(super) fn drain(&mut self, now: Time) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.handover_queue.extend(self.held.keys());
        self.locations = self.directory.locations(now);
        let tombstones = self.held.iter();
        let tombstones = tombstones.filter(|(_, held)| matches!(held, StoredFlow::Tombstone(_)));
        self.closed = tombstones.map(|(flow, _)| *flow).collect();
    }

    /// Queues a flow or tombstone for handover if this agent must hand it over.
    pub(super) fn queue_handover(&mut self, flow: FlowId) {
        if let Some(StoredFlow::Tombstone(_)) = self.held.get(&flow) {
            if self.draining {
                self.closed.push(flow);
            }
        } else if self.draining || self.handover_targets.contains_key(&flow) {
            self.handover_queue.insert(flow);
        }
    }

    /// Transfers queued flows, entries and tombstones to hosts without an unacknowledged transfer.
    pub(super) fn dispatch(&mut self, now: Time) {
        let is_idle = self.handover_queue.is_empty() && self.orphaned.is_empty();
        if is_idle && self.locations.is_empty() && self.closed.is_empty() {
            return;
        }
        let mut outgoing_transfers: IndexMap<HostId, OutgoingTransfer> = IndexMap::new();
        self.dispatch_orphaned(&mut outgoing_transfers);
        for flow in self.ready() {
            if let Some((host, _)) = self.destination(&flow)
                && !self.outgoing_transfers.contains_key(&host)
            {
                let outgoing = outgoing_transfers.entry(host).or_default();
                if outgoing.flows.len() < MAX_TRANSFER_FLOWS {
                    outgoing.flows.push(flow);
                }
            }
        }
        for location in mem::take(&mut self.locations) {
            match self.successor(&location.flow) {
                Some((host, _)) if !self.outgoing_transfers.contains_key(&host) => {
                    outgoing_transfers
                        .entry(host)
                        .or_default()
                        .directory
                        .push(location);
                }
                Some(_) => self.locations.push(location),
                None => {}
            }
        }
        for flow in mem::take(&mut self.closed) {
            match self.successor(&flow) {
                Some((host, _)) if !self.outgoing_transfers.contains_key(&host) => {
                    outgoing_transfers
                        .entry(host)
                        .or_default()
                        .closed
                        .push(flow);
                }
                Some(_) => self.closed.push(flow),
                None => {}
            }
        }
        for (host, mut outgoing) in outgoing_transfers {
            // Based on the clock so that numbers also increase across restarts of the process.
            self.transfer_number = now.as_micros().max(self.transfer_number + 1);
            outgoing.number = self.transfer_number;
            self.start_transfer(host, outgoing);
        }
    }

    /// Queued flows that are open and await no reply; others leave the queue.
    fn ready(&mut self) -> Vec<FlowId> {
        let (held, handover_targets, draining) =
            (&self.held, &self.handover_targets, self.draining);
        self.handover_queue.retain(|flow| {
            let is_ready =
                matches!(held.get(flow), Some(StoredFlow::Open(open)) if open.view().unanswered() == 0);
            is_ready && (draining || handover_targets.contains_key(flow))
        });
        self.handover_queue.iter().copied().collect()
    }

    pub(super) fn destination(&self, flow: &FlowId) -> Option<(HostId, SocketAddrV4)> {
        match self.handover_targets.get(flow) {
            Some(holder) => {
                let host = self.membership.host_at(*holder)?;
                Some((host.clone(), *holder))
            }
            None if self.draining => self.successor(flow),
            None => None,
        }
    }

    /// Member that owns a flow's bucket once this agent has left.
    fn successor(&self, flow: &FlowId) -> Option<(HostId, SocketAddrV4)> {
        let own = &self.settings.host;
        let (host, member) = self
            .membership
            .successor(flow, self.settings.buckets, own)?;
        Some((host.clone(), member.agent))
    }

    fn start_transfer(&mut self, host: HostId, outgoing: OutgoingTransfer) {
        let Some(to) = self.membership.agent_of(&host) else {
            return;
        };
        for flow in &outgoing.flows {
            self.handover_queue.swap_remove(flow);
            self.resend_timers.clear(flow);
            self.orphaned.swap_remove(flow);
            let open = match self.held.swap_remove(flow) {
                Some(StoredFlow::Open(open)) => open,
                Some(StoredFlow::Moving(moving)) => moving.unfreeze(),
                _ => continue,
            };
            self.held.insert(*flow, StoredFlow::Moving(open.freeze(to)));
        }
        self.send_transfer(host.clone(), &outgoing);
        self.outgoing_transfers.insert(host, outgoing);
    }

    fn send_transfer(&mut self, host: HostId, outgoing: &OutgoingTransfer) {
        let state = |flow: &FlowId| match self.held.get(flow) {
            Some(StoredFlow::Moving(moving)) => Some(moving.export(*flow)),
            _ => None,
        };
        let transfer = Transfer {
            from: self.settings.agent,
            number: outgoing.number,
            flows: outgoing.flows.iter().filter_map(state).collect(),
            directory: outgoing.directory.clone(),
            closed: outgoing.closed.clone(),
        };
        self.actions.push(Action::Handover { host, transfer });
    }

    pub(super) fn handover_failed(&mut self, now: Time, to: &HostId) {
        if let Some(outgoing) = self.outgoing_transfers.get_mut(to) {
            outgoing.retry = Some(now + RETRY_DELAY);
            outgoing.is_uncertain = true;
        }
    }

    /// Retries failed transfers with the same receivers.
    ///
    /// A receiver may hold the flows although no acknowledgement arrived, so the flows must not go
    /// to another agent.
    pub(super) fn retry_transfers(&mut self, now: Time) {
        let due = |outgoing: &OutgoingTransfer| outgoing.retry.is_some_and(|retry| retry <= now);
        let hosts: Vec<HostId> = self
            .outgoing_transfers
            .iter()
            .filter(|(_, outgoing)| due(outgoing))
            .map(|(host, _)| host.clone())
            .collect();
        for host in hosts {
            if let Some(mut outgoing) = self.outgoing_transfers.swap_remove(&host) {
                outgoing.retry = None;
                self.send_transfer(host.clone(), &outgoing);
                self.outgoing_transfers.insert(host, outgoing);
            }
        }
    }

    pub(super) fn handed_over(&mut self, now: Time, to: &HostId, flows: &[FlowId]) {
        let Some(mut outgoing) = self.outgoing_transfers.swap_remove(to) else {
            return;
        };
        let acknowledged: IndexSet<FlowId> = flows.iter().copied().collect();
        let (done, left): (Vec<_>, Vec<_>) = outgoing
            .flows
            .into_iter()
            .partition(|flow| acknowledged.contains(flow));
        self.discard(now, done);
        // A draining receiver may leave before it hands the tombstone to the next owner.
        for flow in mem::take(&mut outgoing.closed) {
            if !acknowledged.contains(&flow) {
                self.requeue_timers.set(flow, now + RETRY_DELAY);
            }
        }
        if !outgoing.is_uncertain {
            for flow in left {
                self.unfreeze(flow);
                self.requeue_timers.set(flow, now + RETRY_DELAY);
            }
        } else if !left.is_empty() {
            outgoing.flows = left;
            outgoing.directory.clear();
            outgoing.retry = Some(now + RETRY_DELAY);
            self.outgoing_transfers.insert(to.clone(), outgoing);
        }
    }

    /// Replaces flows that another agent has taken over by directory entries.
    fn discard(&mut self, now: Time, flows: Vec<FlowId>) {
        let until = now + self.settings.idle;
        let roster = self.membership.version();
        for flow in flows {
            let Some(StoredFlow::Moving(moving)) = self.held.get(&flow) else {
                continue;
            };
            let holder = moving.to();
            self.held.swap_remove(&flow);
            self.handover_targets.swap_remove(&flow);
            self.directory
                .set(flow, holder, Basis::Confirmed, roster, until);
            self.count(Counter::HandedOver);
            self.register_holder(now, flow, holder);
        }
    }

    pub(super) fn unfreeze(&mut self, flow: FlowId) {
        match self.held.swap_remove(&flow) {
            Some(StoredFlow::Moving(moving)) => {
                self.held.insert(flow, StoredFlow::Open(moving.unfreeze()));
                self.schedule_resend(flow);
            }
            Some(held) => {
                self.held.insert(flow, held);
            }
            None => {}
        }
    }

    /// Reports the drain as complete once nothing is left to hand over or finish.
    pub(super) fn report_drained(&mut self) {
        let is_queued = !self.locations.is_empty() || !self.closed.is_empty();
        if !self.draining || self.drained || is_queued || !self.outgoing_transfers.is_empty() {
            return;
        }
        let is_unfinished = |(flow, held): (&FlowId, &StoredFlow)| match held {
            StoredFlow::Moving(_) => true,
            StoredFlow::Tombstone(_) => self.requeue_timers.contains(flow),
            StoredFlow::Open(open) => {
                let is_busy = open.view().unanswered() > 0 || !open.view().outbox.is_empty();
                is_busy || self.successor(flow).is_some()
            }
        };
        if !self.held.iter().any(is_unfinished) {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }
}
