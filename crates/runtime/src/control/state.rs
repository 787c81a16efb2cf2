use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use usher_config::{Adoption, Cache, Catalog, Kind, Object, ObjectKey, ServiceEntry, Value};
use usher_types::{Fleet, Peer, Roster, ServiceName, Version};

use super::{ObjectBatch, Update};
use crate::event;

/// Configuration and rosters that this process knows.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    cache: Cache,
    entries: IndexMap<ServiceName, ServiceEntry>,
}

impl ConfigState {
    /// Adopts objects and returns the keys of those that were newer.
    pub(crate) fn adopt(&mut self, update: Update) -> BTreeSet<ObjectKey> {
        let changed: BTreeSet<ObjectKey> = update
            .objects
            .iter()
            .filter(|object| self.is_newer(object))
            .map(Object::key)
            .collect();
        if update.whole {
            let held = &update.held;
            self.cache.apply_list(update.through, update.objects, held);
        } else {
            self.cache
                .apply_since(update.after, update.through, update.objects);
        }
        if changed
            .iter()
            .any(|key| matches!(key.kind, Kind::Service | Kind::Profile))
        {
            self.rebuild_catalog();
        }
        for key in &changed {
            event::CONFIG.log(&[("object", key), ("version", &self.version(key))]);
        }
        changed
    }

    fn is_newer(&self, object: &Object) -> bool {
        let adoption = self.cache.compare(object);
        if adoption == Adoption::Outdated {
            let key = object.key();
            let known = self.version(&key);
            event::CONFIG_OUTDATED.log(&[
                ("object", &key),
                ("version", &object.version),
                ("known", &known),
            ]);
        }
        adoption == Adoption::Adopted
    }

    fn version(&self, key: &ObjectKey) -> Version {
        self.cache
            .get(key)
            .map_or_else(Version::default, |held| held.version)
    }

    /// Objects that the store has lost and does not hold again yet.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &Object> {
        self.cache.lost()
    }

    /// Number of processes that rosters and fleets list.
    pub(crate) fn processes(&self) -> usize {
        let rosters = self.cache.list(Kind::Roster).filter_map(roster_of);
        let fleets = self.cache.list(Kind::Fleet).filter_map(fleet_of);
        let hosts: usize = rosters.map(|roster| roster.members.len()).sum();
        let balancers: usize = fleets.map(|fleet| fleet.balancers.len()).sum();
        hosts + balancers
    }

    /// Position up to which this process has every object.
    pub(crate) fn complete(&self) -> Version {
        self.cache.complete()
    }

    /// Objects above a position, for a peer that asks.
    pub(crate) fn since(&self, position: Version) -> ObjectBatch {
        let objects = self.cache.since(position).cloned().collect();
        ObjectBatch {
            through: self.complete(),
            objects,
        }
    }

    /// Address of a peer's administration RPC, from its roster or fleet.
    pub(crate) fn admin_of(
        &self,
        peer: &Peer,
        service: Option<&ServiceName>,
    ) -> Option<SocketAddrV4> {
        match peer {
            Peer::Host(host) => {
                let rosters = self.cache.list(Kind::Roster).filter(|object| {
                    service.is_none_or(|service| object.name.as_str() == service.as_str())
                });
                rosters
                    .filter_map(roster_of)
                    .find_map(|roster| roster.members.get(host).map(|member| member.admin))
            }
            Peer::Instance(instance) => {
                let fleets = self.cache.list(Kind::Fleet).filter_map(fleet_of);
                fleets
                    .filter_map(|fleet| fleet.balancers.get(instance))
                    .map(|entry| entry.admin)
                    .next()
            }
        }
    }

    /// All services in force, with their profiles.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.entries.values()
    }

    /// A service in force, with its profile.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.entries.get(name)
    }

    pub(crate) fn roster(&self, service: &ServiceName) -> Option<Arc<Roster>> {
        self.cache.roster(service)
    }

    pub(crate) fn fleet(&self, centre: &str) -> Option<Arc<Fleet>> {
        self.cache.fleet(centre)
    }

    // Concurrent edits can store conflicting services; the catalog resolves the conflict in the
    // same way in every process.
    fn rebuild_catalog(&mut self) {
        let catalog = Catalog::new(&self.cache);
        self.entries = catalog
            .entries
            .into_iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
    }
}

fn roster_of(object: &Object) -> Option<&Roster> {
    match &object.value {
        Some(Value::Roster(roster)) => Some(roster),
        _ => None,
    }
}

fn fleet_of(object: &Object) -> Option<&Fleet> {
    match &object.value {
        Some(Value::Fleet(fleet)) => Some(fleet),
        _ => None,
    }
}
