use usher_types::{DataCentre, Span, Time};

use crate::{ConfigurationVersion, CpuCapacity};

/// Time without a hello after which a balancer counts as silent.
///
/// Hellos come every 300 ms, so three are missed.
pub(crate) const SILENCE_TIMEOUT: Span = Span::from_secs(1);

/// What a process knows about one balancer.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) added_at: Time,
    pub(crate) last_heard: Option<Time>,
    pub(crate) last_sent: Option<Time>,
    pub(crate) epoch: u64,
    pub(crate) previous_epoch: u64,
    pub(crate) version: ConfigurationVersion,
    pub(crate) leaving: bool,
    pub(crate) centre: Option<DataCentre>,
    pub(crate) capacity: CpuCapacity,
    /// When it last asked this process for hellos.
    pub(crate) last_asked: Option<Time>,
}

impl Member {
    /// A balancer that has not been heard yet.
    pub(crate) fn unheard(now: Time) -> Self {
        Self {
            added_at: now,
            last_heard: None,
            last_sent: None,
            epoch: 0,
            previous_epoch: 0,
            version: ConfigurationVersion::default(),
            leaving: false,
            centre: None,
            capacity: CpuCapacity::default(),
            last_asked: None,
        }
    }

    /// Whether the balancer is heard: its last hello is recent.
    pub(crate) fn is_present(&self, now: Time) -> bool {
        self.last_heard
            .is_some_and(|last_heard| now - last_heard <= SILENCE_TIMEOUT)
    }

    pub(crate) fn is_in(&self, centre: &DataCentre) -> bool {
        self.centre.as_ref() == Some(centre)
    }
}
