use usher_types::Version;

use crate::{Object, ObjectKey, Value, WriteId};

/// State of an object on which a write depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist or is a tombstone.
    Absent,
    /// The object exists in this version.
    Version(Version),
}

impl Condition {
    /// The condition that what was read is still the current state.
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
    /// State on which the change depends.
    pub condition: Condition,
    /// The new value; `None` deletes the object.
    pub value: Option<Value>,
}

/// A change with the id under which it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// The same in every transmission of the write.
    pub id: WriteId,
    /// What is written.
    pub change: Change,
}
