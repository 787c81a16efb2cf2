use std::collections::BTreeSet;
use std::sync::Arc;

use usher_config::{Cache, Object, ObjectKey};
use usher_types::{Fleet, Profile, ProfileName, Roster, Service, ServiceName, Version};

use crate::event;

/// Configuration and rosters that this process knows.
#[derive(Debug, Default)]
pub(crate) struct State {
    cache: Cache,
}

impl State {
    /// Adopts objects and returns the keys of those that were newer.
    pub(crate) fn adopt(
        &mut self,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) -> BTreeSet<ObjectKey> {
        let changed: BTreeSet<ObjectKey> = objects
            .iter()
            .filter(|object| self.is_newer(object))
            .map(Object::key)
            .collect();
        self.cache.adopt_since(after, through, objects);
        for key in &changed {
            let version = self
                .cache
                .get(key)
                .map_or_else(Version::default, |held| held.version);
            event::CONFIG.log(&[("object", key), ("version", &version)]);
        }
        changed
    }

    fn is_newer(&self, object: &Object) -> bool {
        self.cache
            .get(&object.key())
            .is_none_or(|held| held.version < object.version)
    }

    /// Version up to which nothing is missing.
    pub(crate) fn complete(&self) -> Version {
        self.cache.complete()
    }

    /// Objects above a version, for a peer that asks.
    pub(crate) fn since(&self, version: Version) -> Vec<Object> {
        self.cache.since(version).cloned().collect()
    }

    /// All services by name.
    pub(crate) fn services(&self) -> impl Iterator<Item = (ServiceName, &Service)> {
        self.cache.services()
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.cache.service(name)
    }

    pub(crate) fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        self.cache.profile(name)
    }

    pub(crate) fn roster(&self, service: &ServiceName) -> Option<Arc<Roster>> {
        self.cache.roster(service)
    }

    pub(crate) fn fleet(&self, centre: &str) -> Option<Arc<Fleet>> {
        self.cache.fleet(centre)
    }
}
