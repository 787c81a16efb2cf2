use serde::{Deserialize, Serialize};
use usher_types::Version;

/// One version of an object; the store does not look into its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Kind, the first part of the path.
    pub kind: String,
    /// Name, the second part of the path.
    pub name: String,
    /// Position in the order of all writes.
    pub version: Version,
    /// `X-Write-Id` of the write.
    pub write_id: String,
    /// The value; `null` in a tombstone.
    pub value: serde_json::Value,
}

impl Record {
    /// Whether the object was deleted in this version.
    ///
    /// ```
    /// let record = usher_standins::store::Record {
    ///     kind: "profile".into(),
    ///     name: "fast".into(),
    ///     version: usher_types::Version::new(1),
    ///     write_id: "1".into(),
    ///     value: serde_json::Value::Null,
    /// };
    /// assert!(record.is_tombstone());
    /// ```
    pub fn is_tombstone(&self) -> bool {
        self.value.is_null()
    }
}

/// Condition of a write, from `If-Match` or `If-None-Match`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// `If-None-Match: *`.
    Absent,
    /// `If-Match: "<version>"`.
    Version(Version),
}

impl Precondition {
    pub(crate) fn holds(self, current: Option<&Record>) -> bool {
        let live = current.filter(|record| !record.is_tombstone());
        match self {
            Self::Absent => live.is_none(),
            Self::Version(version) => live.is_some_and(|record| record.version == version),
        }
    }
}
