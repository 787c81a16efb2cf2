use indexmap::IndexSet;
use usher_config::{Cache, Object};
use usher_platform::{Listing, Object as PlatformObject, WatchAnswer};
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
            cache.apply_list(self.through, self.objects)
        } else {
            cache.apply_since(self.after, self.through, self.objects)
        }
    }

    /// Whether an object that the batch lacks is missing in the store.
    ///
    /// ```
    /// # use usher_store::Batch;
    /// let (after, through) = Default::default();
    /// let (objects, unreadable) = Default::default();
    /// let batch = Batch { after, through, objects, unreadable, whole: true };
    /// assert!(batch.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.whole && self.unreadable.is_empty()
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
        self.report_ignored(page.ignored);
        for stored in page.objects {
            self.add_object(stored, None);
        }
    }

    /// Creates a batch with the last change of each object since a position.
    pub(crate) fn changes(after: Version, answer: WatchAnswer) -> Self {
        let mut batch = Self::empty(answer.store_version.max(after));
        batch.after = after;
        batch.whole = false;
        batch.report_ignored(answer.ignored);
        let mut seen = IndexSet::new();
        for (stored, removed) in answer.changes.into_iter().rev() {
            if seen.insert(stored.name.clone()) {
                // A removal carries only the object's last revision; it happened at `through` or before.
                batch.add_object(stored, removed.then_some(answer.store_version));
            }
        }
        batch.objects.sort_by_key(|object| object.position);
        batch
    }

    fn add_object(&mut self, stored: PlatformObject, removed: Option<Version>) {
        let decoded = StoredObject::try_from(stored).map(|decoded| match removed {
            Some(version) => decoded.tombstone(version),
            None => decoded,
        });
        match decoded.and_then(StoredObject::object) {
            Ok(object) => self.objects.push(object),
            Err(error) => self.unreadable.push(error),
        }
    }

    fn report_ignored(&mut self, count: usize) {
        if count > 0 {
            let text = format!("{count} entries are not objects");
            self.unreadable.push(StoreError::Unreadable(text));
        }
    }
}
