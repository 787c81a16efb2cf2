use std::collections::{BTreeMap, BTreeSet};

use usher_types::Version;

use crate::{Kind, Object, ObjectKey};

/// Result of [`Cache::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The object is newer than the cached version and replaces it.
    Adopted,
    /// The cache holds this version or a newer one.
    Ignored,
}

/// Newest known version of every object, tombstones included.
///
/// A higher version replaces a lower one and never the reverse, from any source. Tombstones stay,
/// so that an old value from a stale source cannot bring a deleted object back.
///
/// ```
/// use usher_config::{Adoption, Cache, Kind, Object, WriteId};
/// use usher_types::Version;
/// let object = |version| Object {
///     kind: Kind::Profile,
///     name: "fast".parse().unwrap(),
///     version: Version::new(version),
///     write_id: WriteId::new(1),
///     value: Some(usher_types::Profile::default().into()),
/// };
/// let mut cache = Cache::default();
/// assert_eq!(cache.adopt(object(4)), Adoption::Adopted);
/// assert_eq!(cache.adopt(object(3)), Adoption::Ignored);
/// assert_eq!(cache.revision(), Version::new(4));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Cache {
    objects: BTreeMap<ObjectKey, Object>,
    order: BTreeSet<(Version, ObjectKey)>,
    complete: Version,
}

impl Cache {
    /// Stores an object if it is newer than the cached version.
    ///
    /// ```
    /// # use usher_config::{Cache, Kind, Object, WriteId};
    /// let mut cache = Cache::default();
    /// let name = "fast".parse()?;
    /// let version = usher_types::Version::new(9);
    /// cache.adopt(Object { kind: Kind::Profile, name, version, write_id: WriteId::new(1), value: None });
    /// assert_eq!(cache.list(Kind::Profile).count(), 0);
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn adopt(&mut self, mut object: Object) -> Adoption {
        let key = object.key();
        if let Some(cached) = self.objects.get(&key) {
            if cached.version >= object.version {
                return Adoption::Ignored;
            }
            self.order.remove(&(cached.version, key.clone()));
        }
        if let Some(value) = &mut object.value {
            value.set_version(object.version);
        }
        self.order.insert((object.version, key.clone()));
        self.objects.insert(key, object);
        Adoption::Adopted
    }

    /// Adopts the objects that a source holds above `after`; returns how many were newer.
    ///
    /// The source states that nothing is missing up to `through`: for the store its last version,
    /// for a peer its own `complete`.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_types::Version;
    /// let mut cache = Cache::default();
    /// assert_eq!(cache.apply_since(Version::new(0), Version::new(4), Vec::new()), 0);
    /// assert_eq!(cache.complete(), Version::new(4));
    /// ```
    pub fn apply_since(&mut self, after: Version, through: Version, objects: Vec<Object>) -> usize {
        let adopted = objects
            .into_iter()
            .map(|object| self.adopt(object))
            .filter(|adoption| *adoption == Adoption::Adopted)
            .count();
        if after <= self.complete {
            self.complete = self.complete.max(through);
        }
        adopted
    }

    /// Highest version seen; lower ones may be missing.
    ///
    /// ```
    /// let cache = usher_config::Cache::default();
    /// assert_eq!(cache.revision(), usher_types::Version::new(0));
    /// ```
    pub fn revision(&self) -> Version {
        self.order
            .last()
            .map_or_else(Version::default, |entry| entry.0)
    }

    /// Version up to which nothing is missing; watches resume from here.
    ///
    /// An object adopted on its own raises `revision` and not this version, because objects between
    /// them may not have arrived yet.
    ///
    /// ```
    /// let cache = usher_config::Cache::default();
    /// assert_eq!(cache.complete(), usher_types::Version::new(0));
    /// ```
    pub fn complete(&self) -> Version {
        self.complete
    }

    /// The newest known version of an object, which may be a tombstone.
    ///
    /// ```
    /// use usher_config::{Cache, Kind, ObjectKey};
    /// let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// assert!(Cache::default().get(&key).is_none());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Objects of a kind that exist, by name.
    ///
    /// ```
    /// use usher_config::{Cache, Kind};
    /// assert_eq!(Cache::default().list(Kind::Service).count(), 0);
    /// ```
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.objects
            .values()
            .filter(move |object| object.kind == kind && object.value.is_some())
    }

    /// Objects above a version in version order, tombstones included.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_types::Version;
    /// assert_eq!(Cache::default().since(Version::new(3)).count(), 0);
    /// ```
    pub fn since(&self, version: Version) -> impl Iterator<Item = &Object> {
        self.order
            .iter()
            .rev()
            .take_while(move |entry| entry.0 > version)
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
            .filter_map(|entry| self.objects.get(&entry.1))
    }
}
