use std::collections::{BTreeMap, BTreeSet};

use usher_types::{Buckets, Generation, Profile, ProfileName, Service, ServiceName, Version};

use crate::profile_rules::check_profile;
use crate::{Cache, Change, ConfigError, Kind, ObjectKey, Value};

/// Validates a set of changes together against the current configuration.
///
/// Returns the changes in an order in which each one leaves a usable configuration: profiles,
/// services that exist, new services, then deletions. Generations of services are derived.
///
/// # Errors
/// All faults, `MU-2004` to `MU-2014`; nothing may be written then.
///
/// ```
/// use usher_config::{Cache, Change, Condition, Kind, ObjectKey, check};
/// let change = Change {
///     key: ObjectKey::new(Kind::Profile, "fast".parse()?),
///     condition: Condition::Absent,
///     value: Some(usher_types::Profile::default().into()),
/// };
/// assert_eq!(check(&Cache::default(), vec![change]).unwrap().len(), 1);
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
pub fn check(cache: &Cache, changes: Vec<Change>) -> Result<Vec<Change>, Vec<ConfigError>> {
    let mut faults = check_each(cache, &changes);
    let changes = derive_generations(cache, changes, &mut faults);
    let before = Snapshot::of(cache, &[]);
    let after = Snapshot::of(cache, &changes);
    faults.extend(after.check_services(&changes));
    faults.extend(after.check_deletions(&changes));
    faults.extend(after.check_buckets(&before));
    if faults.is_empty() {
        Ok(in_write_order(cache, changes))
    } else {
        Err(faults)
    }
}

fn check_each(cache: &Cache, changes: &[Change]) -> Vec<ConfigError> {
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    for change in changes {
        let key = &change.key;
        if !seen.insert(key) {
            faults.push(ConfigError::Repeated(key.clone()));
        }
        if !matches!(key.kind, Kind::Profile | Kind::Service) {
            faults.push(ConfigError::SystemKind(key.clone()));
        }
        match &change.value {
            Some(value) if value.kind() != key.kind => faults.push(ConfigError::WrongKind {
                key: key.clone(),
                found: value.kind(),
            }),
            Some(Value::Profile(profile)) => faults.extend(check_profile(&key.name, profile)),
            None if !exists(cache, key) => faults.push(ConfigError::Missing(key.clone())),
            _ => {}
        }
    }
    faults
}

fn exists(cache: &Cache, key: &ObjectKey) -> bool {
    cache.get(key).is_some_and(|object| object.value.is_some())
}

fn existing_service<'a>(cache: &'a Cache, key: &ObjectKey) -> Option<&'a Service> {
    match cache.get(key)?.value.as_ref()? {
        Value::Service(service) => Some(service),
        _ => None,
    }
}

// A service that gains an address gets a generation above the number of every version seen, and
// thereby above the generation of any service that had the address before, even one that has been
// deleted. Revisions alone do not suffice, because they fall when the store is restored.
fn derive_generations(
    cache: &Cache,
    mut changes: Vec<Change>,
    faults: &mut Vec<ConfigError>,
) -> Vec<Change> {
    let highest = cache
        .since(Version::default())
        .map(|object| object.version.get().max(object.position.get()))
        .max()
        .unwrap_or_default();
    for change in &mut changes {
        let Some(Value::Service(service)) = &mut change.value else {
            continue;
        };
        let existing = existing_service(cache, &change.key);
        let generation = existing.map_or_else(Generation::default, |existing| existing.generation);
        let found = service.generation;
        if found != Generation::default() && found != generation {
            faults.push(ConfigError::Generation {
                service: (&change.key.name).into(),
                found,
                current: generation,
            });
        }
        let unchanged = existing.is_some_and(|existing| existing.address == service.address);
        service.generation = if unchanged {
            generation
        } else {
            generation.max(Generation::new(highest)).next()
        };
    }
    changes
}

fn in_write_order(cache: &Cache, mut changes: Vec<Change>) -> Vec<Change> {
    // A service that releases an address is written before a new one that uses it.
    changes.sort_by_key(|change| match (change.key.kind, &change.value) {
        (Kind::Profile, Some(_)) => 0,
        (_, Some(_)) if exists(cache, &change.key) => 1,
        (Kind::Service, None) => 2,
        (_, Some(_)) => 3,
        (_, None) => 4,
    });
    changes
}

/// Profiles and services as they are, or as they would be after a set of changes.
struct Snapshot<'a> {
    profiles: BTreeMap<ProfileName, &'a Profile>,
    services: BTreeMap<ServiceName, &'a Service>,
}

impl<'a> Snapshot<'a> {
    fn of(cache: &'a Cache, changes: &'a [Change]) -> Self {
        let mut snapshot = Self {
            profiles: BTreeMap::new(),
            services: BTreeMap::new(),
        };
        let objects = cache.list(Kind::Profile).chain(cache.list(Kind::Service));
        for object in objects {
            snapshot.set(&object.key(), object.value.as_ref());
        }
        for change in changes {
            snapshot.set(&change.key, change.value.as_ref());
        }
        snapshot
    }

    fn set(&mut self, key: &ObjectKey, value: Option<&'a Value>) {
        match (key.kind, value) {
            (Kind::Profile, Some(Value::Profile(profile))) => {
                self.profiles.insert((&key.name).into(), profile);
            }
            (Kind::Service, Some(Value::Service(service))) => {
                self.services.insert((&key.name).into(), service);
            }
            (Kind::Profile, None) => {
                self.profiles.remove(&ProfileName::from(&key.name));
            }
            (Kind::Service, None) => {
                self.services.remove(&ServiceName::from(&key.name));
            }
            _ => {}
        }
    }

    fn check_services(&self, changes: &[Change]) -> Vec<ConfigError> {
        let mut addresses = BTreeMap::new();
        for (name, service) in &self.services {
            addresses
                .entry(service.address)
                .or_insert_with(Vec::new)
                .push(name);
        }
        let mut faults = Vec::new();
        let services = changes
            .iter()
            .filter(|change| change.key.kind == Kind::Service);
        for name in services.map(|change| ServiceName::from(&change.key.name)) {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            let address = service.address;
            let ip = address.ip();
            if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() || address.port() == 0
            {
                faults.push(ConfigError::Address {
                    service: name.clone(),
                    address,
                });
            }
            if !self.profiles.contains_key(&service.profile) {
                faults.push(ConfigError::NoProfile {
                    service: name.clone(),
                    profile: service.profile.clone(),
                });
            }
            for other in addresses.get(&address).into_iter().flatten() {
                if **other != name {
                    faults.push(ConfigError::SharedAddress {
                        first: (*other).clone(),
                        second: name.clone(),
                        address,
                    });
                }
            }
        }
        faults
    }

    fn check_deletions(&self, changes: &[Change]) -> Vec<ConfigError> {
        let deleted: BTreeSet<ProfileName> = changes
            .iter()
            .filter(|change| change.key.kind == Kind::Profile && change.value.is_none())
            .map(|change| (&change.key.name).into())
            .collect();
        let users = self.services.iter();
        users
            .filter(|(_, service)| deleted.contains(&service.profile))
            .map(|(name, service)| ConfigError::ProfileInUse {
                profile: service.profile.clone(),
                service: name.clone(),
            })
            .collect()
    }

    fn buckets(&self, service: &Service) -> Option<Buckets> {
        Some(self.profiles.get(&service.profile)?.buckets)
    }

    // Flows are assigned by bucket, so another number of buckets moves flows between hosts without
    // a handover. A service that changes its address starts without flows.
    fn check_buckets(&self, before: &Snapshot<'_>) -> Vec<ConfigError> {
        let mut faults = Vec::new();
        for (name, service) in &self.services {
            let Some(existing) = before.services.get(name) else {
                continue;
            };
            let pair = (before.buckets(existing), self.buckets(service));
            if let (Some(current), Some(found)) = pair
                && current != found
                && existing.address == service.address
            {
                faults.push(ConfigError::Buckets {
                    service: name.clone(),
                    found,
                    current,
                });
            }
        }
        faults
    }
}
