use usher_types::{Span, Time};

use crate::host::{Ejected, Host, Trial, Watched};
use crate::norm::Norm;
use crate::{Observation, Standing};

// Outcomes of a trial that show whether the host has recovered. A host that fails 40 % of its
// requests has no failure among as many once in 20 times.
const TRIAL_OUTCOMES: f64 = 6.0;
// Outcomes that are enough after a long trial. Earlier ones have lost most of their weight by then,
// and where few flows come there are never six at a time.
const LONG_TRIAL: Span = Span::from_secs(12);
const LONG_TRIAL_OUTCOMES: f64 = 2.0;

/// Life cycle of a host at a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// See [`Watched`].
    Watched(Host<Watched>),
    /// See [`Ejected`].
    Ejected(Host<Ejected>),
    /// See [`Trial`].
    Trial(Host<Trial>),
}

impl Lifecycle {
    pub(crate) fn new(now: Time) -> Self {
        Self::Watched(Host::new(now))
    }

    pub(crate) fn standing(&self) -> Standing {
        match self {
            Self::Watched(_) => Standing::Watched,
            Self::Ejected(_) => Standing::Ejected,
            Self::Trial(_) => Standing::Trial,
        }
    }

    /// When the host was ejected or its trial began.
    pub(crate) fn out_since(&self) -> Option<Time> {
        match self {
            Self::Watched(_) => None,
            Self::Ejected(host) => Some(host.state.since),
            Self::Trial(host) => Some(host.state.since),
        }
    }

    /// Starts and ends trials. A new process of the backend server is tried at once.
    #[must_use]
    pub(crate) fn advance<Key>(
        self,
        now: Time,
        norm: &Norm,
        observation: &Observation<Key>,
        is_new: bool,
    ) -> Self {
        match self {
            Self::Ejected(host) if is_new || now >= host.state.until => {
                Self::Trial(host.start_trial(now, observation))
            }
            Self::Trial(host) => {
                let fresh = host.fresh(now, observation.outcomes);
                let enough = if now - host.state.since < LONG_TRIAL {
                    TRIAL_OUTCOMES
                } else {
                    LONG_TRIAL_OUTCOMES
                };
                let is_tried = fresh.total() >= enough;
                let stays_slow =
                    norm.is_slow(observation.work) && !host.is_faster(observation.work);
                if norm.is_failing(fresh) || (is_tried && stays_slow) {
                    Self::Ejected(host.fail(now))
                } else if is_tried && norm.is_met(fresh, observation.work) {
                    Self::Watched(host.restore(now, observation.outcomes))
                } else {
                    Self::Trial(host)
                }
            }
            other => other,
        }
    }

    /// Returns a host without a trial, since too many of its service are out.
    #[must_use]
    pub(crate) fn release<Key>(self, now: Time, observation: &Observation<Key>) -> Self {
        match self {
            Self::Ejected(host) => {
                let trial = host.start_trial(now, observation);
                Self::Watched(trial.restore(now, observation.outcomes))
            }
            Self::Trial(host) => Self::Watched(host.restore(now, observation.outcomes)),
            Self::Watched(host) => Self::Watched(host),
        }
    }
}
