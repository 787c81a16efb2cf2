use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use usher_types::{Profile, ProfileName, Service, ServiceName, Version};

use crate::{Cache, ConfigError, Kind, Object, ObjectKey, Value};

/// A service in force with the profile it selects.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// The service.
    pub service: Service,
    /// Its profile.
    pub profile: Profile,
}

/// Services in force; every process computes the same ones from the same objects.
///
/// A write is conditional on its own object only, so two operators who write different objects at
/// once can both succeed with conflicting values. The catalog resolves such conflicts in the same
/// way in every process: of two services with one address the one accepted first stays in force,
/// and a service whose profile is missing gets the default profile.
///
/// ```
/// use usher_config::{Cache, Catalog};
/// let catalog = Catalog::new(&Cache::default());
/// assert!(catalog.entries.is_empty() && catalog.faults.is_empty());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Services in force, by name.
    pub entries: Vec<ServiceEntry>,
    /// Conflicts between objects, each resolved by the rules above.
    pub faults: Vec<ConfigError>,
}

impl Catalog {
    /// Computes the services in force.
    ///
    /// ```
    /// use usher_config::{Cache, Catalog};
    /// assert!(Catalog::new(&Cache::default()).entries.is_empty());
    /// ```
    pub fn new(cache: &Cache) -> Self {
        let mut catalog = Self {
            entries: Vec::new(),
            faults: Vec::new(),
        };
        let mut addresses: BTreeMap<SocketAddrV4, ServiceName> = BTreeMap::new();
        let mut services: Vec<_> = cache.list(Kind::Service).filter_map(service_of).collect();
        // The lower generation was accepted first; equal ones are ordered by the store.
        services.sort_by_key(|(version, _, service)| (service.generation, *version));
        for (_, name, service) in services {
            if let Some(first) = addresses.get(&service.address) {
                catalog.faults.push(ConfigError::SharedAddress {
                    first: first.clone(),
                    second: name,
                    address: service.address,
                });
                continue;
            }
            addresses.insert(service.address, name.clone());
            catalog.add(cache, name, service);
        }
        catalog.entries.sort_by(|a, b| a.name.cmp(&b.name));
        catalog
    }

    fn add(&mut self, cache: &Cache, name: ServiceName, service: &Service) {
        let profile = profile_of(cache, &service.profile).unwrap_or_else(|| {
            self.faults.push(ConfigError::NoProfile {
                service: name.clone(),
                profile: service.profile.clone(),
            });
            Profile::default()
        });
        self.entries.push(ServiceEntry {
            name,
            service: service.clone(),
            profile,
        });
    }
}

fn service_of(object: &Object) -> Option<(Version, ServiceName, &Service)> {
    match &object.value {
        Some(Value::Service(service)) => Some((object.version, (&object.name).into(), service)),
        _ => None,
    }
}

fn profile_of(cache: &Cache, name: &ProfileName) -> Option<Profile> {
    match &cache
        .get(&ObjectKey::new(Kind::Profile, name.into()))?
        .value
    {
        Some(Value::Profile(profile)) => Some(profile.clone()),
        _ => None,
    }
}
