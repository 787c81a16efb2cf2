use usher_types::{DataCentre, Span, Time, Version};

use crate::Strength;

/// A balancer greets every 300 ms; after three missing greetings it is treated as silent.
pub(crate) const SILENT: Span = Span::from_secs(1);

/// What a process knows of one balancer.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) learned: Time,
    pub(crate) heard: Option<Time>,
    pub(crate) sent: Option<Time>,
    pub(crate) epoch: u64,
    pub(crate) former: u64,
    pub(crate) version: Version,
    pub(crate) leaving: bool,
    pub(crate) centre: Option<DataCentre>,
    pub(crate) strength: Strength,
    /// When it last asked for greetings.
    pub(crate) asked: Option<Time>,
}

impl Member {
    /// A balancer that was named and not yet heard.
    pub(crate) fn named(now: Time) -> Self {
        Self {
            learned: now,
            heard: None,
            sent: None,
            epoch: 0,
            former: 0,
            version: Version::default(),
            leaving: false,
            centre: None,
            strength: Strength::default(),
            asked: None,
        }
    }

    /// Whether it is heard.
    pub(crate) fn is_present(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now - heard <= SILENT)
    }

    pub(crate) fn is_in(&self, centre: &DataCentre) -> bool {
        self.centre.as_ref() == Some(centre)
    }
}
