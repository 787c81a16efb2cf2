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
    /// The cache holds a newer version, which the store has lost.
    Outdated,
}

/// Newest known version of every object, tombstones included.
///
/// A higher version replaces a lower one and never the reverse, from any source. Tombstones stay,
/// so that an old value from a stale source cannot bring a deleted object back. An object that the
/// store has lost, because it was restored from a copy, stays too and is listed by `lost`.
///
/// ```
/// use usher_config::{Adoption, Cache, Kind, Object, WriteId};
/// use usher_types::Version;
/// let object = |version| Object {
///     kind: Kind::Profile,
///     name: "fast".parse().unwrap(),
///     version: Version::new(version),
///     position: Version::new(version),
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
    // Keys by position.
    order: BTreeSet<(Version, ObjectKey)>,
    // Objects whose cached value the store no longer holds.
    lost: BTreeSet<ObjectKey>,
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
    /// let (position, write_id) = (version, WriteId::new(1));
    /// cache.adopt(Object { kind: Kind::Profile, name, version, position, write_id, value: None });
    /// assert_eq!(cache.list(Kind::Profile).count(), 0);
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn adopt(&mut self, mut object: Object) -> Adoption {
        if object.position == Version::default() {
            object.position = object.version;
        }
        let key = object.key();
        let adoption = self.compare(&object);
        match adoption {
            Adoption::Adopted => self.replace(key, object),
            Adoption::Ignored => self.confirm(&key, &object),
            Adoption::Outdated => self.mark_lost(key),
        }
        adoption
    }

    /// What `adopt` would do with an object.
    ///
    /// ```
    /// # use usher_config::{Adoption, Cache, Kind, Object, WriteId};
    /// let (name, write_id) = ("fast".parse()?, WriteId::new(1));
    /// let (version, position) = Default::default();
    /// let object = Object { kind: Kind::Profile, name, version, position, write_id, value: None };
    /// assert_eq!(Cache::default().compare(&object), Adoption::Adopted);
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn compare(&self, object: &Object) -> Adoption {
        match self.objects.get(&object.key()) {
            Some(cached) if cached.version < object.version => Adoption::Adopted,
            // A restored store can give the number of a lost write to another one of the same era.
            Some(cached) if cached.version == object.version => {
                let other = cached.write_id != object.write_id;
                if other && cached.position < object.position {
                    Adoption::Adopted
                } else {
                    Adoption::Ignored
                }
            }
            // The store held the older value after the newer one.
            Some(cached) if cached.position < object.position => Adoption::Outdated,
            Some(_) => Adoption::Ignored,
            None => Adoption::Adopted,
        }
    }

    /// Adopts all objects of the store, complete up to `through`.
    ///
    /// A cached object that the list lacks is lost if the list is of a later era than the object's
    /// position. `held` are objects that the store holds and that could not be decoded.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_types::Version;
    /// let mut cache = Cache::default();
    /// cache.apply_list(Version::new(4), Vec::new(), &[]);
    /// assert_eq!(cache.complete(), Version::new(4));
    /// assert_eq!(cache.lost().count(), 0);
    /// ```
    pub fn apply_list(
        &mut self,
        through: Version,
        objects: Vec<Object>,
        held: &[ObjectKey],
    ) -> usize {
        let listed = objects.iter().map(Object::key);
        let listed: BTreeSet<ObjectKey> = listed.chain(held.iter().cloned()).collect();
        let adopted = self.apply_since(Version::default(), through, objects);
        let is_missing = |object: &&Object| {
            object.value.is_some()
                && object.position.era() < through.era()
                && !listed.contains(&object.key())
        };
        let missing: Vec<ObjectKey> = self
            .objects
            .values()
            .filter(is_missing)
            .map(Object::key)
            .collect();
        for key in missing {
            self.mark_lost(key);
        }
        adopted
    }

    /// Objects that the store has lost and does not hold again yet.
    ///
    /// Leases are left out: only their holder may write them.
    ///
    /// ```
    /// assert_eq!(usher_config::Cache::default().lost().count(), 0);
    /// ```
    pub fn lost(&self) -> impl Iterator<Item = &Object> {
        self.lost.iter().filter_map(|key| self.objects.get(key))
    }

    fn replace(&mut self, key: ObjectKey, mut object: Object) {
        if let Some(value) = &mut object.value {
            value.set_version(object.version);
        }
        if let Some(cached) = self.objects.get(&key) {
            self.order.remove(&(cached.position, key.clone()));
        }
        self.lost.remove(&key);
        self.order.insert((object.position, key.clone()));
        self.objects.insert(key, object);
    }

    fn mark_lost(&mut self, key: ObjectKey) {
        if key.kind != Kind::Lease {
            self.lost.insert(key);
        }
    }

    // A restored store holds the same value at a later position.
    fn confirm(&mut self, key: &ObjectKey, object: &Object) {
        let Some(cached) = self.objects.get_mut(key) else {
            return;
        };
        if cached.version == object.version && cached.position < object.position {
            self.order.remove(&(cached.position, key.clone()));
            self.order.insert((object.position, key.clone()));
            cached.position = object.position;
            self.lost.remove(key);
        }
    }

    /// Adopts the objects that a source holds above position `after`; returns how many were newer.
    ///
    /// The source states that nothing is missing up to `through`: for the store its era and last
    /// revision, for a peer its own `complete`.
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

    /// Highest position seen; lower ones may be missing.
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

    /// Position up to which nothing is missing; watches resume from here.
    ///
    /// An object adopted on its own raises `revision` and not this position, because objects between
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

    /// Objects above a position in the order of positions, tombstones included.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_types::Version;
    /// assert_eq!(Cache::default().since(Version::new(3)).count(), 0);
    /// ```
    pub fn since(&self, position: Version) -> impl Iterator<Item = &Object> {
        self.order
            .iter()
            .rev()
            .take_while(move |entry| entry.0 > position)
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
            .filter_map(|entry| self.objects.get(&entry.1))
    }
}
