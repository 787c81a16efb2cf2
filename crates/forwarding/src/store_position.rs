use usher_types::{Era, Version};

use crate::AnswerEra;

/// Where a process has got to in the changes of the store.
///
/// The store's versions are in one order only within an era. When the store is restored from a copy,
/// what was read before says nothing about the changes since, so everything is read again.
///
/// ```
/// use usher_forwarding::{AnswerEra, StorePosition};
/// use usher_types::{Era, Version};
/// let mut position = StorePosition::default();
/// assert_eq!(position.observe(Era::new(1)), AnswerEra::Current);
/// position.advance(Version::new(17).in_era(Era::new(1)));
/// assert!(position.since().is_some());
/// position.observe(Era::new(2));
/// assert_eq!(position.since(), None);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StorePosition {
    /// Highest era of any answer.
    era: Option<Era>,
    since: Option<Version>,
}

impl StorePosition {
    /// Classifies an answer by its era, before its content is used.
    ///
    /// After a restore there is no position until everything has been read again.
    pub fn observe(&mut self, era: Era) -> AnswerEra {
        match self.era {
            Some(current) if era < current => AnswerEra::Outdated { current },
            Some(before) if era > before => {
                *self = Self {
                    era: Some(era),
                    since: None,
                };
                AnswerEra::Restored { before }
            }
            _ => {
                self.era = Some(era);
                AnswerEra::Current
            }
        }
    }

    /// Era of the store as far as it is known; 0 until the first answer.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Whether a version may be the condition of a write: it is of the present era.
    pub fn covers(&self, version: Version) -> bool {
        self.era == Some(version.era())
    }

    /// Version after which to wait for changes; `None` to read everything.
    pub fn since(&self) -> Option<Version> {
        self.since
    }

    /// Whether a watch from a version still continues what was read.
    pub fn continues(&self, since: Version) -> bool {
        self.since == Some(since)
    }

    /// Everything up to a version of the present era has been read.
    ///
    /// Within the era the position never goes back.
    pub fn advance(&mut self, through: Version) {
        if self.covers(through) {
            self.since = self.since.max(Some(through));
        }
    }

    /// The position cannot be continued; everything is to be read again.
    pub fn reset(&mut self) {
        self.since = None;
    }
}
