use std::marker::PhantomData;

use usher_types::Version;

use crate::{Condition, Conflict, Object, Rank, Write};

/// Life-cycle state of a write that was sent and awaits its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent;

/// Life-cycle state of a write whose answer was lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Lost;

/// Result of one transmission of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The store made the change at this position.
    Written(Version),
    /// The condition does not hold; the object in the store is given.
    Refused(Option<Object>),
    /// No answer; the change may or may not have been made.
    Lost,
}

/// What to do next with a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The change was made at this position.
    Done(Version),
    /// The change was made, but the store was restored after the condition was read, so it may have
    /// replaced a newer value.
    Restored(Write),
    /// Another write came first; nothing was overwritten.
    Conflict(Conflict),
    /// Read the object and pass it to `Pending::read`.
    ReadBack(Pending<Lost>),
    /// Send the write again, under the same id.
    Retry(Pending<Sent>),
}

/// A conditional write from its first transmission until its outcome is known.
///
/// ```
/// use usher_config::{Answer, Change, Condition, Kind, ObjectKey, Pending, Step, Write, WriteId};
/// let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
/// let change = Change { key, condition: Condition::Absent, value: None };
/// let pending = Pending::new(Write::new(WriteId::new(1), change, Default::default()));
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
    /// let write = Write::new(WriteId::new(1), change, Default::default());
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
    /// A refusal that shows the write's own id means that an earlier transmission took effect. A
    /// change made in a later era than the write states would rank below values that the store has
    /// lost, so it is sent again.
    ///
    /// ```
    /// # use usher_config::{Answer, Change, Condition, Kind, ObjectKey, Pending, Step, Write, WriteId};
    /// # let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// # let change = Change { key, condition: Condition::Absent, value: None };
    /// let version = usher_types::Version::new(7);
    /// let pending = Pending::new(Write::new(WriteId::new(1), change, Default::default()));
    /// assert_eq!(pending.answered(Answer::Written(version)), Step::Done(version));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn answered(self, answer: Answer) -> Step {
        match answer {
            Answer::Written(position) => self.written(position),
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
    /// let pending = Pending::new(Write::new(WriteId::new(1), change, Default::default()));
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
    /// let pending = Pending::new(Write::new(WriteId::new(1), change, Default::default()));
    /// assert_eq!(pending.write().id, WriteId::new(1));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn write(&self) -> &Write {
        &self.write
    }

    fn resolve(self, current: Option<Object>) -> Step {
        match current {
            Some(object) if object.write_id == self.write.id => self.written(object.position),
            current => Step::Conflict(Conflict {
                change: self.write.change,
                current,
                uncertain: self.uncertain,
            }),
        }
    }

    fn written(mut self, position: Version) -> Step {
        match self.write.rank {
            Rank::Newest(era) if era < position.era() => {}
            Rank::Newest(_) | Rank::Kept(_) => return Step::Done(position),
        }
        if self.write.change.condition.is_outdated(position.era()) {
            return Step::Restored(self.write);
        }
        self.write.rank = Rank::Newest(position.era());
        self.write.change.condition = Condition::Version(position);
        Step::Retry(Pending {
            write: self.write,
            uncertain: true,
            state: PhantomData,
        })
    }
}

impl Condition {
    // A position below the condition's comes from a stale replica, so the condition may still hold.
    fn may_hold(self, read: Option<&Object>) -> bool {
        match (self, read) {
            (_, None) => true,
            (Self::Absent, Some(object)) => object.value.is_none(),
            (Self::Version(position), Some(object)) => object.position <= position,
        }
    }
}
