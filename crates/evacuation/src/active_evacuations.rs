use indexmap::IndexMap;
use usher_types::{DataCentre, Span, Time};

use crate::evacuation::{Evacuation, Requested, Retained};
use crate::{Change, Evacuations};

/// The evacuations in force at one process.
///
/// An older set never replaces a newer one. An evacuation that a restored store lacks stays in force
/// for 30 s, so that the operator can write it again.
///
/// ```
/// use usher_evacuation::{ActiveEvacuations, Evacuations};
/// use usher_types::{DataCentre, Time, Version};
/// let centre: DataCentre = "kolkata".parse()?;
/// let mut requested = Evacuations::new(Version::new(17));
/// requested.request(centre.clone());
/// let mut active = ActiveEvacuations::default();
/// active.adopt(Time::ZERO, &requested);
/// active.adopt(Time::ZERO, &Evacuations::new(Version::new(16)));
/// assert!(active.contains(&centre));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ActiveEvacuations {
    latest: Option<Evacuations>,
    phases: IndexMap<DataCentre, Phase>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Requested(Evacuation<Requested>),
    Retained(Evacuation<Retained>),
}

impl Phase {
    fn since(&self) -> Time {
        match self {
            Self::Requested(evacuation) => evacuation.since(),
            Self::Retained(evacuation) => evacuation.since(),
        }
    }
}

impl ActiveEvacuations {
    /// Adopts a set if it is newer than the latest one.
    ///
    /// ```
    /// # use usher_evacuation::{ActiveEvacuations, Evacuations};
    /// # use usher_types::{Time, Version};
    /// let mut active = ActiveEvacuations::default();
    /// assert!(active.adopt(Time::ZERO, &Evacuations::new(Version::new(3))).is_empty());
    /// assert!(active.latest().is_some());
    /// ```
    pub fn adopt(&mut self, now: Time, offered: &Evacuations) -> Change {
        let mut change = self.expire(now);
        let mut restored = false;
        if let Some(latest) = &self.latest {
            if offered.as_of() <= latest.as_of() {
                return change;
            }
            restored = offered.as_of().era() > latest.as_of().era();
        }
        for centre in offered.centres() {
            let phase = match self.phases.get(centre) {
                Some(Phase::Requested(evacuation)) => *evacuation,
                Some(Phase::Retained(evacuation)) => evacuation.renew(),
                None => {
                    change.began.push(centre.clone());
                    Evacuation::begin(now)
                }
            };
            self.phases.insert(centre.clone(), Phase::Requested(phase));
        }
        self.phases.retain(|centre, phase| {
            let Phase::Requested(evacuation) = *phase else {
                return true;
            };
            if offered.contains(centre) {
                return true;
            }
            if restored {
                *phase = Phase::Retained(evacuation.retain(now));
                change.retained.push(centre.clone());
            } else {
                change.ended.push(centre.clone());
            }
            restored
        });
        self.latest = Some(offered.clone());
        change
    }

    /// Ends evacuations that a restored store has lacked for too long.
    pub fn expire(&mut self, now: Time) -> Change {
        let mut change = Change::default();
        self.phases.retain(|centre, phase| {
            let ended = match phase {
                Phase::Requested(_) => false,
                Phase::Retained(evacuation) => evacuation.has_ended(now),
            };
            if ended {
                change.ended.push(centre.clone());
            }
            !ended
        });
        change
    }

    /// Whether a data centre takes no new flows.
    pub fn contains(&self, centre: &DataCentre) -> bool {
        self.phases.contains_key(centre)
    }

    /// The newest set; `None` until one is known.
    pub fn latest(&self) -> Option<&Evacuations> {
        self.latest.as_ref()
    }

    /// The evacuated data centres, and for how long each evacuation has been in force here.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&DataCentre, Span)> {
        let phases = self.phases.iter();
        phases.map(move |(centre, phase)| (centre, now - phase.since()))
    }
}
