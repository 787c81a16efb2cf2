use std::collections::BTreeMap;

use usher_types::Version;

use super::record::{Precondition, Record};

/// A write whose precondition does not hold, with the object as it is.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The object; `None` when it never existed.
    pub current: Option<Record>,
}

/// All objects under one version counter.
///
/// ```
/// use usher_standins::store::{Precondition, Space};
/// let mut space = Space::default();
/// let first = space.write("profile", "fast", "1", Precondition::Absent, 1.into());
/// assert_eq!(first.unwrap().version.get(), 1);
/// let second = space.write("profile", "fast", "2", Precondition::Absent, 2.into());
/// assert_eq!(second.unwrap_err().current.unwrap().write_id, "1");
/// ```
#[derive(Debug, Clone, Default)]
pub struct Space {
    versions: BTreeMap<(String, String), Version>,
    records: BTreeMap<Version, Record>,
    last: Version,
}

impl Space {
    /// The newest version of an object, which may be a tombstone.
    ///
    /// ```
    /// assert!(usher_standins::store::Space::default().get("profile", "fast").is_none());
    /// ```
    pub fn get(&self, kind: &str, name: &str) -> Option<&Record> {
        let key = (kind.to_owned(), name.to_owned());
        self.records.get(self.versions.get(&key)?)
    }

    /// Writes a value, or a tombstone for `null`, if the precondition holds.
    ///
    /// # Errors
    /// The current object, when the precondition does not hold.
    ///
    /// ```
    /// use usher_standins::store::{Precondition, Space};
    /// let written = Space::default().write("lease", "a", "1", Precondition::Absent, 1.into());
    /// assert!(written.is_ok());
    /// ```
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        write_id: &str,
        condition: Precondition,
        value: serde_json::Value,
    ) -> Result<Record, Refusal> {
        let current = self.get(kind, name);
        if !condition.holds(current) {
            let current = current.cloned();
            return Err(Refusal { current });
        }
        self.last = self.last.next();
        let record = Record {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.last,
            write_id: write_id.to_owned(),
            value,
        };
        let key = (kind.to_owned(), name.to_owned());
        if let Some(replaced) = self.versions.insert(key, self.last) {
            self.records.remove(&replaced);
        }
        self.records.insert(self.last, record.clone());
        Ok(record)
    }

    /// Objects above a version in version order, tombstones included.
    ///
    /// ```
    /// use usher_types::Version;
    /// assert!(usher_standins::store::Space::default().since(Version::new(0), None).is_empty());
    /// ```
    pub fn since(&self, version: Version, kind: Option<&str>) -> Vec<Record> {
        self.records
            .range(version.next()..)
            .map(|entry| entry.1)
            .filter(|record| kind.is_none_or(|kind| record.kind == kind))
            .cloned()
            .collect()
    }

    /// The highest version.
    ///
    /// ```
    /// assert_eq!(usher_standins::store::Space::default().last().get(), 0);
    /// ```
    pub fn last(&self) -> Version {
        self.last
    }
}
