use usher_types::{Era, Version};

use crate::{Object, ObjectKey, Value, WriteId};

/// State that an object must have for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist or is a tombstone.
    Absent,
    /// The object exists at this position.
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
            Some(object) if object.value.is_some() => Self::Version(object.position),
            _ => Self::Absent,
        }
    }

    /// Whether the state was read in an earlier era of the store than `era`.
    ///
    /// A restored store gives out revisions again, so such a condition proves nothing.
    ///
    /// ```
    /// use usher_config::Condition;
    /// use usher_types::{Era, Version};
    /// assert!(Condition::Version(Version::new(3)).is_outdated(Era::new(1)));
    /// assert!(!Condition::Absent.is_outdated(Era::new(1)));
    /// ```
    pub fn is_outdated(self, era: Era) -> bool {
        matches!(self, Self::Version(position) if position.era() < era)
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

/// Order of a written value among the values of its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// The era of the write and the revision that the store gives it.
    Newest(Era),
    /// The version that the value had before a restored store lost it.
    Kept(Version),
}

/// A change with the id under which it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// Stays the same when the write is sent again.
    pub id: WriteId,
    /// The change to make.
    pub change: Change,
    /// Stored with the value.
    pub rank: Rank,
}

impl Write {
    /// A write of a new value, in the era that the writer knows.
    ///
    /// ```
    /// use usher_config::{Change, Condition, Kind, ObjectKey, Write, WriteId};
    /// let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// let change = Change { key, condition: Condition::Absent, value: None };
    /// let write = Write::new(WriteId::new(1), change, Default::default());
    /// assert_eq!(write.id, WriteId::new(1));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn new(id: WriteId, change: Change, era: Era) -> Self {
        let rank = Rank::Newest(era);
        Self { id, change, rank }
    }

    /// A write that restores a lost value under its id and version.
    ///
    /// `stored` is the state of the object in the store; the write depends on it. `None` if the
    /// store holds this value or a newer one.
    ///
    /// ```
    /// use usher_config::{Condition, Kind, Object, Write, WriteId};
    /// let (version, position) = (usher_types::Version::new(4), usher_types::Version::new(4));
    /// let (name, write_id) = ("fast".parse()?, WriteId::new(1));
    /// let lost = Object { kind: Kind::Profile, name, version, position, write_id, value: None };
    /// assert!(Write::again(&lost, Some(&lost)).is_none());
    /// assert_eq!(Write::again(&lost, None).unwrap().change.condition, Condition::Absent);
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn again(lost: &Object, stored: Option<&Object>) -> Option<Self> {
        if stored.is_some_and(|stored| stored.version >= lost.version) {
            return None;
        }
        let change = Change {
            key: lost.key(),
            condition: stored.map_or(Condition::Absent, |stored| {
                Condition::Version(stored.position)
            }),
            value: lost.value.clone(),
        };
        Some(Self {
            id: lost.write_id,
            change,
            rank: Rank::Kept(lost.version),
        })
    }
}
