use std::marker::PhantomData;

use usher_types::Version;

use crate::{Condition, Conflict, Object, Write};

/// Life-cycle state of a write that was sent and awaits its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent;

/// Life-cycle state of a write whose answer was lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Lost;

/// Result of one transmission of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The store made the change in this version.
    Written(Version),
    /// The condition does not hold; the object in the store is given.
    Refused(Option<Object>),
    /// No answer; the change may or may not have been made.
    Lost,
}

/// What to do next with a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The change was made in this version.
    Done(Version),
    /// Another write came first; nothing was overwritten.
    Conflict(Conflict),
    /// Read the object and pass it to `Pending::read`.
    ReadBack(Pending<Lost>),
    /// Send the same write again, under the same id.
    Retry(Pending<Sent>),
}

/// A conditional write from its first transmission until its outcome is known.
///
/// ```
/// use usher_config::{Answer, Change, Condition, Kind, ObjectKey, Pending, Step, Write, WriteId};
/// let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
/// let change = Change { key, condition: Condition::Absent, value: None };
/// let pending = Pending::new(Write { id: WriteId::new(1), change });
/// assert!(matches!(pending.answered(Answer::Lost), Step::ReadBack(_)));
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Pending<State> {
    write: Write,
    uncertain: bool,
    state: PhantomData<State>,
}

impl Pending<Sent> {
    /// A write about to be sent for the first time.
    ///
    /// ```
    /// # use usher_config::{Change, Condition, Kind, ObjectKey, Pending, Write, WriteId};
    /// # let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// # let change = Change { key, condition: Condition::Absent, value: None };
    /// let write = Write { id: WriteId::new(1), change };
    /// assert_eq!(Pending::new(write.clone()).write(), &write);
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn new(write: Write) -> Self {
        Self {
            write,
            uncertain: false,
            state: PhantomData,
        }
    }

    /// Takes the outcome of the transmission.
    ///
    /// A refusal that shows the write's own id means that an earlier transmission took effect.
    ///
    /// ```
    /// # use usher_config::{Answer, Change, Condition, Kind, ObjectKey, Pending, Step, Write, WriteId};
    /// # let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// # let change = Change { key, condition: Condition::Absent, value: None };
    /// let version = usher_types::Version::new(7);
    /// let pending = Pending::new(Write { id: WriteId::new(1), change });
    /// assert_eq!(pending.answered(Answer::Written(version)), Step::Done(version));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn answered(self, answer: Answer) -> Step {
        match answer {
            Answer::Written(version) => Step::Done(version),
            Answer::Refused(current) => self.resolve(current),
            Answer::Lost => Step::ReadBack(Pending {
                write: self.write,
                uncertain: true,
                state: PhantomData,
            }),
        }
    }
}

impl Pending<Lost> {
    /// Takes the object that was read back.
    ///
    /// A replica that is older than the write's condition proves nothing, so the write is retried.
    ///
    /// ```
    /// # use usher_config::{Answer, Change, Condition, Kind, ObjectKey, Pending, Step, Write, WriteId};
    /// # let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// # let change = Change { key, condition: Condition::Absent, value: None };
    /// let pending = Pending::new(Write { id: WriteId::new(1), change });
    /// let Step::ReadBack(lost) = pending.answered(Answer::Lost) else { unreachable!() };
    /// assert!(matches!(lost.read(None), Step::Retry(_)));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn read(self, current: Option<Object>) -> Step {
        if !self.write.change.condition.may_hold(current.as_ref()) {
            return self.resolve(current);
        }
        Step::Retry(Pending {
            write: self.write,
            uncertain: true,
            state: PhantomData,
        })
    }
}

impl<State> Pending<State> {
    /// The write that is sent.
    ///
    /// ```
    /// # use usher_config::{Change, Condition, Kind, ObjectKey, Pending, Write, WriteId};
    /// # let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// # let change = Change { key, condition: Condition::Absent, value: None };
    /// let pending = Pending::new(Write { id: WriteId::new(1), change });
    /// assert_eq!(pending.write().id, WriteId::new(1));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn write(&self) -> &Write {
        &self.write
    }

    fn resolve(self, current: Option<Object>) -> Step {
        match current {
            Some(object) if object.write_id == self.write.id => Step::Done(object.version),
            current => Step::Conflict(Conflict {
                change: self.write.change,
                current,
                uncertain: self.uncertain,
            }),
        }
    }
}

impl Condition {
    // A version below the condition's comes from a stale replica, so the condition may still hold.
    fn may_hold(self, read: Option<&Object>) -> bool {
        match (self, read) {
            (_, None) => true,
            (Self::Absent, Some(object)) => object.value.is_none(),
            (Self::Version(version), Some(object)) => object.version <= version,
        }
    }
}
