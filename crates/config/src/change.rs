use usher_types::Version;

use crate::{Object, ObjectKey, Value, WriteId};

/// State that an object must have for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist or is a tombstone.
    Absent,
    /// The object exists in this version.
    Version(Version),
}

impl Condition {
    /// The condition that the object has not changed since it was read.
    ///
    /// ```
    /// use usher_config::Condition;
    /// assert_eq!(Condition::unchanged(None), Condition::Absent);
    /// ```
    pub fn unchanged(read: Option<&Object>) -> Self {
        match read {
            Some(object) if object.value.is_some() => Self::Version(object.version),
            _ => Self::Absent,
        }
    }
}

/// A conditional change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The object.
    pub key: ObjectKey,
    /// State that the object must have.
    pub condition: Condition,
    /// The new value; `None` deletes the object.
    pub value: Option<Value>,
}

/// A change with the id under which it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// Stays the same when the write is sent again.
    pub id: WriteId,
    /// The change to make.
    pub change: Change,
}
