use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{Beat, BeatAck, HostId, Peer, Roster, ServiceName, Time, Version};

use crate::Identity;
use crate::balancers::Balancers;
use crate::watch::Watch;

/// The services that this process watches, and which service a host belongs to.
#[derive(Debug, Default)]
pub(crate) struct Services {
    watches: IndexMap<ServiceName, Watch>,
    assignments: HashMap<HostId, ServiceName>,
}

impl Services {
    pub(crate) fn get(&self, service: &ServiceName) -> Option<&Watch> {
        self.watches.get(service)
    }

    pub(crate) fn get_mut(&mut self, service: &ServiceName) -> Option<&mut Watch> {
        self.watches.get_mut(service)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Watch> {
        self.watches.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&ServiceName, &mut Watch)> {
        self.watches.iter_mut()
    }

    /// Version of a service's roster, 0 if none is known.
    pub(crate) fn version(&self, service: Option<&ServiceName>) -> Version {
        let watch = service.and_then(|service| self.watches.get(service));
        watch.map_or_else(Version::default, |watch| watch.roster().version)
    }

    /// Adopts a roster; false if the same or a newer version is known.
    pub(crate) fn adopt(
        &mut self,
        now: Time,
        service: &ServiceName,
        roster: Arc<Roster>,
        (identity, balancers): (&Identity, &Balancers),
    ) -> bool {
        let known = self.watches.get(service);
        if known.is_some_and(|known| known.roster().version >= roster.version) {
            return false;
        }
        self.unassign(service);
        for host in roster.members.keys() {
            self.assignments.insert(host.clone(), service.clone());
        }
        let watch = self
            .watches
            .entry(service.clone())
            .or_insert_with(Watch::new);
        watch.adopt(now, roster, identity, balancers);
        true
    }

    /// Decides again which members send heartbeats to this process, after a change of balancers.
    pub(crate) fn refresh(&mut self, now: Time, identity: &Identity, balancers: &Balancers) {
        for watch in self.watches.values_mut() {
            let roster = Arc::clone(watch.roster());
            watch.adopt(now, roster, identity, balancers);
        }
    }

    pub(crate) fn forget(&mut self, service: &ServiceName) {
        self.unassign(service);
        self.watches.shift_remove(service);
    }

    /// Records a heartbeat and returns the host's service, unless it is unknown or stale.
    pub(crate) fn on_beat(&mut self, now: Time, host: &HostId, beat: &Beat) -> Option<ServiceName> {
        let service = self.assignments.get(host)?;
        let fresh = self.watches.get_mut(service)?.on_beat(now, host, beat);
        fresh.then(|| service.clone())
    }

    /// Records the hosts that a sender reports as silent; an agent may report its own service only.
    pub(crate) fn on_reports(&mut self, now: Time, beat: &Beat, sender: Option<&ServiceName>) {
        for suspect in &beat.suspects {
            let Peer::Host(suspect) = suspect else {
                continue;
            };
            let Some(service) = self.assignments.get(suspect) else {
                continue;
            };
            let entitled = sender.is_none_or(|sender| sender == service);
            if let Some(watch) = self.watches.get_mut(service).filter(|_| entitled) {
                watch.on_report(now, &beat.from, suspect);
            }
        }
    }

    /// Records that a member was alive when the heartbeat that it acknowledges was sent.
    pub(crate) fn on_ack(&mut self, now: Time, ack: &BeatAck) {
        let Peer::Host(host) = &ack.from else { return };
        let service = self.assignments.get(host);
        if let Some(watch) = service.and_then(|service| self.watches.get_mut(service)) {
            watch.alive_at(host, ack.sent.min(now));
        }
    }

    // A host that moved may already be assigned to its new service; that entry stays.
    fn unassign(&mut self, service: &ServiceName) {
        let Some(watch) = self.watches.get(service) else {
            return;
        };
        for host in watch.roster().members.keys() {
            if self.assignments.get(host) == Some(service) {
                self.assignments.remove(host);
            }
        }
    }
}
