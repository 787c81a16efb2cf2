use indexmap::IndexSet;
use usher_config::{Cache, Object};
use usher_platform::{Listing, Object as Stored, Watched};
use usher_types::Version;

use crate::{PlatformError, Record};

/// Objects above a version, in version order and with tombstones.
#[derive(Debug)]
pub struct Batch {
    /// The version that was asked from.
    pub after: Version,
    /// Version of the store's snapshot; nothing up to it is missing.
    pub through: Version,
    /// The objects that could be read.
    pub objects: Vec<Object>,
    /// Objects whose value could not be read; one of them does not hold back the others.
    pub unreadable: Vec<PlatformError>,
}

impl Batch {
    /// Passes the objects to a cache, and returns how many were newer.
    ///
    /// Only for a batch of all kinds, as the cache counts it complete.
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
    /// };
    /// let mut cache = Cache::default();
    /// assert_eq!(batch.adopt_into(&mut cache), 0);
    /// assert_eq!(cache.complete(), Version::new(2));
    /// ```
    pub fn adopt_into(self, cache: &mut Cache) -> usize {
        cache.adopt_since(self.after, self.through, self.objects)
    }

    /// A batch from the beginning, with nothing in it yet.
    pub(crate) fn empty(through: Version) -> Self {
        Self {
            after: Version::default(),
            through,
            objects: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Adds one page of a list.
    pub(crate) fn add(&mut self, page: Listing) {
        self.count_foreign(page.ignored);
        for stored in page.objects {
            self.take(stored, None);
        }
    }

    /// The last change of each object since a version.
    pub(crate) fn changes(after: Version, watched: Watched) -> Self {
        let mut batch = Self::empty(watched.at.max(after));
        batch.after = after;
        batch.count_foreign(watched.ignored);
        let mut seen = IndexSet::new();
        for (stored, removed) in watched.changes.into_iter().rev() {
            if seen.insert(stored.name.clone()) {
                // A removal has no version of its own; it happened at `through` or before.
                batch.take(stored, removed.then_some(watched.at));
            }
        }
        batch.objects.sort_by_key(|object| object.version);
        batch
    }

    fn take(&mut self, stored: Stored, removed: Option<Version>) {
        let record = Record::try_from(stored).map(|record| match removed {
            Some(version) => record.tombstone(version),
            None => record,
        });
        match record.and_then(Record::object) {
            Ok(object) => self.objects.push(object),
            Err(fault) => self.unreadable.push(fault),
        }
    }

    fn count_foreign(&mut self, count: usize) {
        if count > 0 {
            let text = format!("{count} entries that are no objects");
            self.unreadable.push(PlatformError::Unreadable(text));
        }
    }
}
