use std::fmt;

use crate::{Change, Diff, Object};

/// A write whose condition does not hold in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// The change that the write was to make.
    pub change: Change,
    /// State of the object in the store; `None` when it never existed.
    pub current: Option<Object>,
    /// An answer was lost, so the write may have been in force before `current` replaced it.
    pub uncertain: bool,
}

impl Conflict {
    /// Fields in which the refused value differs from the one in the store.
    ///
    /// ```
    /// use usher_config::{Change, Condition, Conflict, Kind, ObjectKey};
    /// let change = Change {
    ///     key: ObjectKey::new(Kind::Profile, "fast".parse()?),
    ///     condition: Condition::Absent,
    ///     value: None,
    /// };
    /// let conflict = Conflict { change, current: None, uncertain: false };
    /// assert!(conflict.diff().fields.is_empty());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn diff(&self) -> Diff {
        let current = self
            .current
            .as_ref()
            .and_then(|object| object.value.as_ref());
        Diff::new(current, self.change.value.as_ref())
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.change.key;
        match &self.current {
            Some(object) if object.value.is_none() => {
                write!(f, "{key} was deleted in version {}", object.version)
            }
            Some(object) => write!(f, "{key} is at version {}", object.version),
            None => write!(f, "{key} does not exist"),
        }
    }
}
