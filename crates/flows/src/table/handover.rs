use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use usher_types::{FlowId, HostId, Roster, Span, Time};

use super::FlowTable;
use crate::directory::Basis;
use crate::flow::Held;
use crate::transit::Transit;
use crate::{Action, Counter, Transfer};

const RETRY: Span = Span::from_millis(500);
// Keeps a transfer of idle flows near 64 KB.
pub(super) const PARCEL_FLOWS: usize = 256;

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
        self.yields.retain(|_, holder| remains(*holder));
        let gone: Vec<HostId> = self
            .transits
            .keys()
            .filter(|host| {
                !before
                    .members
                    .get(*host)
                    .is_some_and(|member| remains(member.agent))
            })
            .cloned()
            .collect();
        for host in gone {
            self.cancel_transit(&host);
        }
        self.register_all(now);
    }

    pub(super) fn drain(&mut self, now: Time) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.leaving.extend(self.held.keys());
        self.located = self.directory.located(now);
        let tombstones = self.held.iter();
        let tombstones = tombstones.filter(|(_, held)| matches!(held, Held::Closing(_)));
        self.closed = tombstones.map(|(flow, _)| *flow).collect();
    }

    /// Queues a flow for handover when it has to leave and no reply is pending.
    pub(super) fn queue_if_leaving(&mut self, flow: FlowId) {
        if let Some(Held::Closing(_)) = self.held.get(&flow) {
            if self.draining {
                self.closed.push(flow);
            }
        } else if self.draining || self.yields.contains_key(&flow) {
            self.leaving.insert(flow);
        }
    }

    /// Sends what is queued to hosts that have no transfer under way.
    pub(super) fn dispatch(&mut self, now: Time) {
        let is_idle = self.leaving.is_empty() && self.stranded.is_empty();
        if is_idle && self.located.is_empty() && self.closed.is_empty() {
            return;
        }
        let mut transits: IndexMap<HostId, Transit> = IndexMap::new();
        self.dispatch_stranded(&mut transits);
        for flow in self.ready() {
            if let Some((host, _)) = self.destination(&flow)
                && !self.transits.contains_key(&host)
            {
                let transit = transits.entry(host).or_default();
                if transit.flows.len() < PARCEL_FLOWS {
                    transit.flows.push(flow);
                }
            }
        }
        for located in mem::take(&mut self.located) {
            match self.successor(&located.flow) {
                Some((host, _)) if !self.transits.contains_key(&host) => {
                    transits.entry(host).or_default().directory.push(located);
                }
                Some(_) => self.located.push(located),
                None => {}
            }
        }
        for flow in mem::take(&mut self.closed) {
            match self.successor(&flow) {
                Some((host, _)) if !self.transits.contains_key(&host) => {
                    transits.entry(host).or_default().closed.push(flow);
                }
                Some(_) => self.closed.push(flow),
                None => {}
            }
        }
        for (host, mut transit) in transits {
            // Grows across restarts of the process too.
            self.transfers = now.as_micros().max(self.transfers + 1);
            transit.number = self.transfers;
            self.start_transit(host, transit);
        }
    }

    /// Queued flows that are open and await no reply; others leave the queue.
    fn ready(&mut self) -> Vec<FlowId> {
        let (held, yields, draining) = (&self.held, &self.yields, self.draining);
        self.leaving.retain(|flow| {
            let is_free =
                matches!(held.get(flow), Some(Held::Open(open)) if open.view().pending() == 0);
            is_free && (draining || yields.contains_key(flow))
        });
        self.leaving.iter().copied().collect()
    }

    pub(super) fn destination(&self, flow: &FlowId) -> Option<(HostId, SocketAddrV4)> {
        match self.yields.get(flow) {
            Some(holder) => {
                let host = self.membership.host_at(*holder)?;
                Some((host.clone(), *holder))
            }
            None if self.draining => self.successor(flow),
            None => None,
        }
    }

    /// Who owns a flow's bucket once this agent has left.
    fn successor(&self, flow: &FlowId) -> Option<(HostId, SocketAddrV4)> {
        let own = &self.settings.host;
        let (host, member) = self
            .membership
            .successor(flow, self.settings.buckets, own)?;
        Some((host.clone(), member.agent))
    }

    fn start_transit(&mut self, host: HostId, transit: Transit) {
        let Some(to) = self.membership.agent_of(&host) else {
            return;
        };
        for flow in &transit.flows {
            self.leaving.swap_remove(flow);
            self.resend.clear(flow);
            self.stranded.swap_remove(flow);
            let open = match self.held.swap_remove(flow) {
                Some(Held::Open(open)) => open,
                Some(Held::Moving(moving)) => moving.thaw(),
                _ => continue,
            };
            self.held.insert(*flow, Held::Moving(open.freeze(to)));
        }
        self.send_transfer(host.clone(), &transit);
        self.transits.insert(host, transit);
    }

    fn send_transfer(&mut self, host: HostId, transit: &Transit) {
        let state = |flow: &FlowId| match self.held.get(flow) {
            Some(Held::Moving(moving)) => Some(moving.export(*flow)),
            _ => None,
        };
        let transfer = Transfer {
            from: self.settings.agent,
            number: transit.number,
            flows: transit.flows.iter().filter_map(state).collect(),
            directory: transit.directory.clone(),
            closed: transit.closed.clone(),
        };
        self.actions.push(Action::Handover { host, transfer });
    }

    pub(super) fn handover_failed(&mut self, now: Time, to: &HostId) {
        if let Some(transit) = self.transits.get_mut(to) {
            transit.retry = Some(now + RETRY);
            transit.is_uncertain = true;
        }
    }

    /// Repeats transfers to the same hosts: a receiver may hold the flows although no
    /// acknowledgement came, so no other agent may get them.
    pub(super) fn retry_transits(&mut self, now: Time) {
        let due = |transit: &Transit| transit.retry.is_some_and(|retry| retry <= now);
        let hosts: Vec<HostId> = self
            .transits
            .iter()
            .filter(|(_, transit)| due(transit))
            .map(|(host, _)| host.clone())
            .collect();
        for host in hosts {
            if let Some(mut transit) = self.transits.swap_remove(&host) {
                transit.retry = None;
                self.send_transfer(host.clone(), &transit);
                self.transits.insert(host, transit);
            }
        }
    }

    pub(super) fn handed_over(&mut self, now: Time, to: &HostId, flows: &[FlowId]) {
        let Some(mut transit) = self.transits.swap_remove(to) else {
            return;
        };
        let taken: IndexSet<FlowId> = flows.iter().copied().collect();
        let (done, left): (Vec<_>, Vec<_>) = transit
            .flows
            .into_iter()
            .partition(|flow| taken.contains(flow));
        self.discard(now, done);
        // A draining receiver may leave before the next owner knows the tombstone.
        for flow in mem::take(&mut transit.closed) {
            if !taken.contains(&flow) {
                self.deferred.set(flow, now + RETRY);
            }
        }
        if !transit.is_uncertain {
            for flow in left {
                self.thaw(flow);
                self.deferred.set(flow, now + RETRY);
            }
        } else if !left.is_empty() {
            transit.flows = left;
            transit.directory.clear();
            transit.retry = Some(now + RETRY);
            self.transits.insert(to.clone(), transit);
        }
    }

    /// Keeps only directory entries of flows that another agent holds now.
    fn discard(&mut self, now: Time, flows: Vec<FlowId>) {
        let until = now + self.settings.idle;
        let roster = self.membership.version();
        for flow in flows {
            let Some(Held::Moving(moving)) = self.held.get(&flow) else {
                continue;
            };
            let holder = moving.to();
            self.held.swap_remove(&flow);
            self.yields.swap_remove(&flow);
            self.directory
                .set(flow, holder, Basis::Confirmed, roster, until);
            self.count(Counter::HandedOver);
            self.register_holder(now, flow, holder);
        }
    }

    pub(super) fn thaw(&mut self, flow: FlowId) {
        match self.held.swap_remove(&flow) {
            Some(Held::Moving(moving)) => {
                self.held.insert(flow, Held::Open(moving.thaw()));
                self.schedule_resend(flow);
            }
            Some(held) => {
                self.held.insert(flow, held);
            }
            None => {}
        }
    }

    /// Reports once that nothing is left that another agent could take over or finish.
    pub(super) fn report_drained(&mut self) {
        let is_queued = !self.located.is_empty() || !self.closed.is_empty();
        if !self.draining || self.drained || is_queued || !self.transits.is_empty() {
            return;
        }
        let is_left = |(flow, held): (&FlowId, &Held)| match held {
            Held::Moving(_) => true,
            Held::Closing(_) => self.deferred.contains(flow),
            Held::Open(open) => {
                let is_busy = open.view().pending() > 0 || !open.view().outbox.is_empty();
                is_busy || self.successor(flow).is_some()
            }
        };
        if !self.held.iter().any(is_left) {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }
}
