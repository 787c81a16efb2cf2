use usher_types::{Era, Peer, Span, Time, Version};

use crate::{
    Change, Condition, ConfigError, Kind, LeaseRecord, Object, ObjectKey, ObjectName, Write,
    WriteId,
};

// Clocks of two processes run at rates within 1 % of each other, so the clock of another process
// may be ahead of the holder's by up to 2 % of the term.
const DRIFT_FACTOR: f64 = 1.02;

/// Life-cycle state of a lease that this process does not hold.
#[derive(Debug, Clone, Default)]
pub struct Lapsed {
    observation: Option<Observation>,
}

#[derive(Debug, Clone)]
struct Observation {
    position: Version,
    condition: Condition,
    /// Time after `since` for which a process may hold the lease.
    term: Span,
    since: Time,
}

/// Life-cycle state of a lease that this process holds.
#[derive(Debug, Clone)]
pub struct Held {
    position: Version,
    until: Time,
}

/// A lease on an object of the store, as one process sees it.
///
/// The holder checks its own clock before it acts, and each write of the lease is conditional on
/// the position last written by the holder, so a holder that resumes after its term cannot write. A
/// store that was restored from a copy may have lost the lease, so it ends with the store's era.
///
/// ```
/// use usher_config::{StoreLease, WriteId};
/// use usher_types::{Era, Peer, Span, Time, Version};
/// let own = Peer::Instance("riga-centrs-1".parse().unwrap());
/// let mut lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
/// lease.observe(Time::ZERO, None);
/// let now = Time::ZERO + Span::from_secs(4);
/// assert!(lease.acquire(now, WriteId::new(1)).is_some());
/// let held = lease.granted(Time::ZERO, Version::new(5));
/// assert!(held.check(Time::from_micros(2_999_999)).is_ok());
/// assert!(held.check(Time::from_micros(3_000_000)).is_err());
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
#[derive(Debug, Clone)]
pub struct StoreLease<State> {
    name: ObjectName,
    own: Peer,
    term: Span,
    state: State,
}

impl<State> StoreLease<State> {
    fn write(&self, id: WriteId, condition: Condition, era: Era, held: bool) -> Write {
        let record = LeaseRecord {
            holder: self.own.clone(),
            term: self.term,
        };
        let change = Change {
            key: ObjectKey::new(Kind::Lease, self.name.clone()),
            condition,
            value: held.then(|| record.into()),
        };
        Write::new(id, change, era)
    }

    fn into_state<Next>(self, state: Next) -> StoreLease<Next> {
        StoreLease {
            name: self.name,
            own: self.own,
            term: self.term,
            state,
        }
    }
}

impl StoreLease<Lapsed> {
    /// A lease that this process does not hold and has not read yet.
    ///
    /// ```
    /// # use usher_config::{StoreLease, WriteId};
    /// # use usher_types::{Peer, Span, Time};
    /// let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// assert!(lease.acquire(Time::ZERO, WriteId::new(1)).is_none());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn new(name: ObjectName, own: Peer, term: Span) -> Self {
        Self {
            name,
            own,
            term,
            state: Lapsed::default(),
        }
    }

    /// Records the lease object as read at `now`; `None` when it does not exist.
    ///
    /// ```
    /// # use usher_config::{StoreLease, WriteId};
    /// # use usher_types::{Peer, Span, Time};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// let mut lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// lease.observe(Time::ZERO, None);
    /// assert!(lease.acquire(Time::ZERO, WriteId::new(1)).is_none());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn observe(&mut self, now: Time, object: Option<&Object>) {
        let position = object.map_or_else(Version::default, |object| object.position);
        let known = self.state.observation.as_ref();
        // A deletion leaves a tombstone, so an object that is gone was lost by a restore.
        let is_lost =
            object.is_none() && known.is_some_and(|known| known.position != Version::default());
        if !is_lost && known.is_some_and(|known| known.position >= position) {
            return;
        }
        let (condition, term) = match object.and_then(|object| object.value.as_ref()) {
            Some(crate::Value::Lease(record)) => (Condition::Version(position), record.term),
            _ if !is_lost && self.has_followed(position) => (Condition::Absent, Span::ZERO),
            _ => (Condition::Absent, self.term),
        };
        self.state.observation = Some(Observation {
            position,
            condition,
            term,
            since: now,
        });
    }

    // Whether this process has seen the lease in the era of `position` before. If not, a restore may
    // have lost a lease whose holder has not heard of it.
    fn has_followed(&self, position: Version) -> bool {
        let known = self.state.observation.as_ref();
        known.is_some_and(|known| known.position.era() == position.era())
    }

    /// The write that takes the lease, if no process can still hold it.
    ///
    /// A lease whose position has not changed for its term plus the drift margin has lapsed. So has
    /// one that this process has not found for that time; one that it saw released is free at once.
    ///
    /// ```
    /// # use usher_config::{StoreLease, WriteId};
    /// # use usher_types::{Peer, Span, Time};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// let mut lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// lease.observe(Time::ZERO, None);
    /// let later = Time::ZERO + Span::from_secs(4);
    /// assert!(lease.acquire(later, WriteId::new(1)).is_some());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn acquire(&self, now: Time, id: WriteId) -> Option<Write> {
        let observation = self.state.observation.as_ref()?;
        if now - observation.since < observation.term.scale(DRIFT_FACTOR) {
            return None;
        }
        let era = observation.position.era();
        Some(self.write(id, observation.condition, era, true))
    }

    /// The acquiring write sent at `sent` took effect; the term counts from its sending.
    ///
    /// ```
    /// # use usher_config::StoreLease;
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// assert_eq!(held.check(Time::ZERO)?, Version::new(5));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn granted(self, sent: Time, position: Version) -> StoreLease<Held> {
        let until = sent + self.term;
        self.into_state(Held { position, until })
    }
}

impl StoreLease<Held> {
    /// Position of the held lease, if its term has not ended at `now`.
    ///
    /// # Errors
    /// `MU-2015` when the term has ended on this process's clock.
    ///
    /// ```
    /// # use usher_config::StoreLease;
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// assert_eq!(held.check(Time::from_micros(3_000_000)).unwrap_err().code(), "MU-2015");
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn check(&self, now: Time) -> Result<Version, ConfigError> {
        let until = self.state.until;
        if now >= until {
            return Err(ConfigError::LeaseLapsed { until, now });
        }
        Ok(self.state.position)
    }

    /// The write that extends the lease.
    ///
    /// # Errors
    /// `MU-2015` when the term has ended on this process's clock.
    ///
    /// ```
    /// # use usher_config::{Condition, StoreLease, WriteId};
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// let write = held.renewal(Time::ZERO, WriteId::new(2))?;
    /// assert_eq!(write.change.condition, Condition::Version(Version::new(5)));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn renewal(&self, now: Time, id: WriteId) -> Result<Write, ConfigError> {
        let position = self.check(now)?;
        Ok(self.write(id, Condition::Version(position), position.era(), true))
    }

    /// The write that releases the lease.
    ///
    /// # Errors
    /// `MU-2015` when the term has ended on this process's clock.
    ///
    /// ```
    /// # use usher_config::{StoreLease, WriteId};
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// assert!(held.release(Time::ZERO, WriteId::new(2))?.change.value.is_none());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn release(&self, now: Time, id: WriteId) -> Result<Write, ConfigError> {
        let position = self.check(now)?;
        Ok(self.write(id, Condition::Version(position), position.era(), false))
    }

    /// The renewal sent at `sent` took effect; the term counts from its sending.
    ///
    /// ```
    /// # use usher_config::StoreLease;
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// let held = held.renewed(Time::from_micros(10), Version::new(6));
    /// assert_eq!(held.check(Time::from_micros(3_000_000))?, Version::new(6));
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    #[must_use]
    pub fn renewed(self, sent: Time, position: Version) -> Self {
        let until = sent + self.term;
        self.into_state(Held { position, until })
    }

    /// The lease, unless the store is in a later era than the one in which it was granted.
    ///
    /// The restored store may have lost the lease and granted it to another process.
    ///
    /// # Errors
    /// The lapsed lease, which has to be read and acquired again.
    ///
    /// ```
    /// # use usher_config::StoreLease;
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let held = lease.granted(Time::ZERO, Version::new(5));
    /// let held = held.in_era(Era::default()).unwrap();
    /// assert!(held.in_era(Era::new(1)).is_err());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn in_era(self, era: Era) -> Result<Self, StoreLease<Lapsed>> {
        if era > self.state.position.era() {
            return Err(self.lapse());
        }
        Ok(self)
    }

    /// The lease ended, was released or was taken by another process.
    ///
    /// ```
    /// # use usher_config::{StoreLease, WriteId};
    /// # use usher_types::{Era, Peer, Span, Time, Version};
    /// # let own = Peer::Instance("riga-centrs-1".parse().unwrap());
    /// # let lease = StoreLease::new("watcher".parse()?, own, Span::from_secs(3));
    /// let lapsed = lease.granted(Time::ZERO, Version::new(5)).lapse();
    /// assert!(lapsed.acquire(Time::ZERO, WriteId::new(2)).is_none());
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn lapse(self) -> StoreLease<Lapsed> {
        self.into_state(Lapsed::default())
    }
}
