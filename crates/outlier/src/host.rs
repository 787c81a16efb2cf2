use usher_types::{Span, Time};

use crate::{Observation, OutcomeCounts};

// How long a host must differ from the others before it is ejected: some ten reports, so that a
// pause of a few requests is not enough.
const SUSTAINED: Span = Span::from_secs(1);
// Time without any new flow after an ejection, doubled for each further one.
const FIRST_REST: Span = Span::from_secs(3);
const MAX_REST: Span = Span::from_secs(24);
// A host that has been like the others for this time starts again with the first rest.
const FORGET_AFTER: Span = Span::from_secs(60);
// Six sound requests bring the moving mean of a host that was 8 times slower to 0.6 of what it was.
const FASTER: f64 = 0.75;

/// A host in one state of its life cycle as a balancer sees it.
///
/// Each transition consumes the previous state, so a host can only return by way of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Host<State> {
    /// Ejections in close succession.
    ejections: u32,
    pub(crate) state: State,
}

/// Gets new flows like any other host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Watched {
    since: Time,
    /// Outcomes before it was watched.
    earlier: OutcomeCounts,
    /// When it began to differ from the others, if it does.
    outlier_since: Option<Time>,
}

/// Gets no new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ejected {
    pub(crate) since: Time,
    pub(crate) until: Time,
}

/// Gets a few new flows to find out whether it has recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Trial {
    pub(crate) since: Time,
    /// Outcomes before the trial.
    earlier: OutcomeCounts,
    /// Mean processing time before the trial.
    earlier_work: Span,
}

impl Host<Watched> {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            ejections: 0,
            state: Watched {
                since: now,
                earlier: OutcomeCounts::default(),
                outlier_since: None,
            },
        }
    }

    /// Outcomes that count: those of an earlier ejection do not.
    pub(crate) fn fresh(&self, now: Time, outcomes: OutcomeCounts) -> OutcomeCounts {
        outcomes.since(self.state.earlier, now - self.state.since)
    }

    /// Records whether the host differs from the others; `true` if it has done so long enough.
    pub(crate) fn observe(&mut self, now: Time, is_outlier: bool) -> bool {
        if !is_outlier {
            self.state.outlier_since = None;
            return false;
        }
        let since = *self.state.outlier_since.get_or_insert(now);
        now - since >= SUSTAINED
    }

    pub(crate) fn eject(mut self, now: Time) -> Host<Ejected> {
        if now - self.state.since >= FORGET_AFTER {
            self.ejections = 0;
        }
        self.into_ejected(now)
    }
}

impl Host<Ejected> {
    pub(crate) fn start_trial<Key>(self, now: Time, seen: &Observation<Key>) -> Host<Trial> {
        self.into_state(Trial {
            since: now,
            earlier: seen.outcomes,
            earlier_work: seen.work,
        })
    }
}

impl Host<Trial> {
    /// Outcomes since the trial began.
    pub(crate) fn fresh(&self, now: Time, outcomes: OutcomeCounts) -> OutcomeCounts {
        outcomes.since(self.state.earlier, now - self.state.since)
    }

    /// Whether the moving mean of the processing time shows requests of the trial that were faster.
    pub(crate) fn is_faster(&self, work: Span) -> bool {
        work < self.state.earlier_work.scale(FASTER)
    }

    pub(crate) fn fail(self, now: Time) -> Host<Ejected> {
        self.into_ejected(now)
    }

    pub(crate) fn restore(self, now: Time, earlier: OutcomeCounts) -> Host<Watched> {
        self.into_state(Watched {
            since: now,
            earlier,
            outlier_since: None,
        })
    }
}

impl<State> Host<State> {
    fn into_ejected(self, now: Time) -> Host<Ejected> {
        let doublings = self.ejections.min(u64::BITS - 1);
        let rest = (FIRST_REST * (1 << doublings.min(8))).min(MAX_REST);
        Host {
            ejections: self.ejections.saturating_add(1),
            state: Ejected {
                since: now,
                until: now + rest,
            },
        }
    }

    fn into_state<Next>(self, state: Next) -> Host<Next> {
        Host {
            ejections: self.ejections,
            state,
        }
    }
}
