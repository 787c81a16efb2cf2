use indexmap::IndexSet;
use usher_config::{Cache, Object, ObjectKey};
use usher_platform::{Change, InvalidEntry, Listing, Object as PlatformObject, WatchAnswer};
use usher_types::Version;

use crate::{StoreError, StoredObject};

/// Objects changed after a position, in the order of positions and including tombstones.
#[derive(Debug)]
pub struct Batch {
    /// Position after which changes were requested.
    pub after: Version,
    /// Era and revision of the store up to which the batch is complete.
    pub through: Version,
    /// Objects that could be decoded.
    pub objects: Vec<Object>,
    /// Errors of the objects that could not be decoded; the others are still returned.
    pub unreadable: Vec<StoreError>,
    /// The batch has all objects of the store, not only changes.
    pub whole: bool,
}

impl Batch {
    /// Adds the objects to a cache, and returns how many of them were newer.
    ///
    /// The batch must cover all kinds: the cache then counts as complete up to `through`.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_store::Batch;
    /// use usher_types::Version;
    /// let batch = Batch {
    ///     after: Version::new(0),
    ///     through: Version::new(2),
    ///     objects: Vec::new(),
    ///     unreadable: Vec::new(),
    ///     whole: true,
    /// };
    /// let mut cache = Cache::default();
    /// assert_eq!(batch.apply_to(&mut cache), 0);
    /// assert_eq!(cache.complete(), Version::new(2));
    /// ```
    pub fn apply_to(self, cache: &mut Cache) -> usize {
        if self.is_complete() {
            let held = self.held();
            cache.apply_list(self.through, self.objects, &held)
        } else {
            cache.apply_since(self.after, self.through, self.objects)
        }
    }

    /// Whether an object that is neither in the batch nor in `held` is missing in the store.
    ///
    /// ```
    /// # use usher_store::Batch;
    /// let (after, through) = Default::default();
    /// let (objects, unreadable) = Default::default();
    /// let batch = Batch { after, through, objects, unreadable, whole: true };
    /// assert!(batch.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// Objects that the store holds under a valid key and that could not be decoded.
    ///
    /// ```
    /// # use usher_store::Batch;
    /// # let (after, through) = Default::default();
    /// # let (objects, unreadable) = Default::default();
    /// # let batch = Batch { after, through, objects, unreadable, whole: true };
    /// assert!(batch.held().is_empty());
    /// ```
    pub fn held(&self) -> Vec<ObjectKey> {
        let unreadable = self.unreadable.iter();
        unreadable.filter_map(StoreError::key).collect()
    }

    /// Creates an empty batch for all objects of the store.
    pub(crate) fn empty(through: Version) -> Self {
        Self {
            after: Version::default(),
            through,
            objects: Vec::new(),
            unreadable: Vec::new(),
            whole: true,
        }
    }

    /// Adds the objects of one page of a list.
    pub(crate) fn add(&mut self, page: Listing) {
        for entry in &page.invalid {
            self.add_invalid(entry);
        }
        for stored in page.objects {
            self.add_object(stored);
        }
    }

    /// Creates a batch with the last change of each object since a position.
    pub(crate) fn changes(after: Version, answer: WatchAnswer) -> Self {
        let mut batch = Self::empty(answer.store_version.max(after));
        batch.after = after;
        for entry in &answer.invalid {
            batch.add_invalid(entry);
        }
        batch.whole = false;
        let mut seen = IndexSet::new();
        for change in answer.changes.into_iter().rev() {
            match change {
                Change::Written(stored) if seen.insert(stored.name.clone()) => {
                    batch.add_object(stored);
                }
                // It happened at this version of the store or before.
                Change::Removed { name } if seen.insert(name.clone()) => {
                    batch.add_removal(&name, answer.store_version);
                }
                Change::Written(_) | Change::Removed { .. } => {}
            }
        }
        batch.objects.sort_by_key(|object| object.position);
        batch
    }

    fn add_object(&mut self, stored: PlatformObject) {
        match StoredObject::try_from(stored).and_then(StoredObject::object) {
            Ok(object) => self.objects.push(object),
            Err(error) => self.unreadable.push(error),
        }
    }

    fn add_removal(&mut self, name: &str, position: Version) {
        let key = StoredObject::key(name);
        match key.and_then(|key| StoredObject::tombstone(key, position).object()) {
            Ok(object) => self.objects.push(object),
            Err(error) => self.unreadable.push(error),
        }
    }

    fn add_invalid(&mut self, entry: &InvalidEntry) {
        self.unreadable.push(match &entry.name {
            Some(name) => StoredObject::invalid(name, &entry.fault),
            None => StoreError::Unreadable(entry.fault.to_string()),
        });
        // An entry without a name may be any object.
        self.whole &= entry.name.is_some();
    }
}
