use std::sync::Arc;

use usher_types::{Fleet, Profile, ProfileName, Roster, Service, ServiceName};

use crate::{Cache, Kind, ObjectKey, Value};

/// Typed access to the values of a cache.
impl Cache {
    /// All services that exist, by name.
    ///
    /// ```
    /// assert_eq!(usher_config::Cache::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = (ServiceName, &Service)> {
        self.list(Kind::Service)
            .filter_map(|object| match &object.value {
                Some(Value::Service(service)) => Some((ServiceName::from(&object.name), service)),
                _ => None,
            })
    }

    /// A service, if it exists.
    ///
    /// ```
    /// let cache = usher_config::Cache::default();
    /// assert!(cache.service(&"namedesk".parse()?).is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match self.value(Kind::Service, name.as_str())? {
            Value::Service(service) => Some(service),
            _ => None,
        }
    }

    /// A profile, if it exists.
    ///
    /// ```
    /// let cache = usher_config::Cache::default();
    /// assert!(cache.profile(&"fast".parse()?).is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        match self.value(Kind::Profile, name.as_str())? {
            Value::Profile(profile) => Some(profile),
            _ => None,
        }
    }

    /// The roster of a service, if it exists.
    ///
    /// ```
    /// let cache = usher_config::Cache::default();
    /// assert!(cache.roster(&"namedesk".parse()?).is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn roster(&self, service: &ServiceName) -> Option<Arc<Roster>> {
        match self.value(Kind::Roster, service.as_str())? {
            Value::Roster(roster) => Some(Arc::new(roster.clone())),
            _ => None,
        }
    }

    /// The balancers of a data centre, if they are known.
    ///
    /// ```
    /// assert!(usher_config::Cache::default().fleet("kolkata").is_none());
    /// ```
    pub fn fleet(&self, centre: &str) -> Option<Arc<Fleet>> {
        match self.value(Kind::Fleet, centre)? {
            Value::Fleet(fleet) => Some(Arc::new(fleet.clone())),
            _ => None,
        }
    }

    fn value(&self, kind: Kind, name: &str) -> Option<&Value> {
        let key = ObjectKey::new(kind, name.parse().ok()?);
        self.get(&key)?.value.as_ref()
    }
}
