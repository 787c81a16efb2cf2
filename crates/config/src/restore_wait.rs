use usher_types::{Era, Span, Time, Version};

/// Time within which the processes that hold a lost object have written it again.
const RESTORE_TIME: Span = Span::from_secs(3);

/// Wait before an object of a restored store is edited.
///
/// The store may hold an older value than processes know that ran before the restore. An edit of it
/// by a process that has started since would replace theirs.
///
/// ```
/// use usher_config::RestoreWait;
/// use usher_types::{Span, Time, Version};
/// let wait = RestoreWait::default();
/// assert_eq!(wait.before_edit(Time::ZERO, Version::new(4)), Span::ZERO);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RestoreWait {
    era: Era,
    since: Time,
}

impl RestoreWait {
    /// Records the era of an answer of the store.
    ///
    /// ```
    /// use usher_config::RestoreWait;
    /// use usher_types::{Era, Span, Time, Version};
    /// let mut wait = RestoreWait::default();
    /// wait.observe(Time::ZERO, Era::new(1));
    /// assert!(wait.before_edit(Time::ZERO, Version::new(4)) > Span::ZERO);
    /// ```
    pub fn observe(&mut self, now: Time, era: Era) {
        if era > self.era {
            self.era = era;
            self.since = now;
        }
    }

    /// How long to wait before the object is edited that this process knows in version `base`.
    ///
    /// ```
    /// use usher_config::RestoreWait;
    /// use usher_types::{Era, Span, Time, Version};
    /// let mut wait = RestoreWait::default();
    /// wait.observe(Time::ZERO, Era::new(1));
    /// let base = Version::new(4).in_era(Era::new(1));
    /// assert_eq!(wait.before_edit(Time::ZERO, base), Span::ZERO);
    /// ```
    pub fn before_edit(&self, now: Time, base: Version) -> Span {
        if base.era() >= self.era {
            return Span::ZERO;
        }
        RESTORE_TIME - (now - self.since).min(RESTORE_TIME)
    }
}
