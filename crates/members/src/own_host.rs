use std::fmt;

use rand::{Rng, RngCore};
use usher_types::{Roster, Span, Time};

use crate::{Change, HostLifecycle};

/// Random delay of a proposal, so that hosts that start at once spread their writes.
const JITTER: Span = Span::from_secs(1);
/// Time after which a proposal is repeated if no roster confirms it.
const RETRY: Span = Span::from_secs(3);

/// This process's own host and when it next proposes its pending roster change.
pub(crate) struct OwnHost {
    lifecycle: HostLifecycle,
    random: Box<dyn RngCore + Send>,
    due: Option<Time>,
}

impl OwnHost {
    pub(crate) fn new(random: Box<dyn RngCore + Send>) -> Self {
        Self {
            lifecycle: HostLifecycle::default(),
            random,
            due: None,
        }
    }

    pub(crate) fn lifecycle(&self) -> &HostLifecycle {
        &self.lifecycle
    }

    /// When the next proposal is due.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Moves along the life cycle; `roster` is `None` before the first one is read.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        roster: Option<&Roster>,
        step: impl FnOnce(HostLifecycle) -> HostLifecycle,
    ) {
        self.lifecycle = step(std::mem::take(&mut self.lifecycle));
        let pending = roster.and_then(|roster| self.lifecycle.pending(roster));
        self.due = pending.map(|_| {
            let delay = self.random.random_range(0..JITTER.as_micros());
            now + Span::from_micros(delay)
        });
    }

    /// The change to propose, if one is due.
    pub(crate) fn proposal(&mut self, now: Time, roster: &Roster) -> Option<Change> {
        self.due.filter(|due| now >= *due)?;
        let change = self.lifecycle.pending(roster);
        self.due = change.is_some().then_some(now + RETRY);
        change
    }
}

impl fmt::Debug for OwnHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnHost")
            .field("life", &self.lifecycle)
            .field("due", &self.due)
            .finish_non_exhaustive()
    }
}
