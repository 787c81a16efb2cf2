use usher_types::{Span, Time};

// Time that an operator has to write an evacuation again after a restore of the store has lost it.
const RETENTION: Span = Span::from_secs(30);

/// The evacuation of one data centre, in one state of its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Evacuation<State> {
    since: Time,
    state: State,
}

/// The store holds the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Requested;

/// The store was restored from a copy that lacks the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Retained {
    until: Time,
}

impl Evacuation<Requested> {
    pub(crate) fn begin(now: Time) -> Self {
        Self {
            since: now,
            state: Requested,
        }
    }

    /// The restored store lacks the request.
    pub(crate) fn retain(self, now: Time) -> Evacuation<Retained> {
        Evacuation {
            since: self.since,
            state: Retained {
                until: now + RETENTION,
            },
        }
    }
}

impl Evacuation<Retained> {
    /// The request was written again.
    pub(crate) fn renew(self) -> Evacuation<Requested> {
        Evacuation {
            since: self.since,
            state: Requested,
        }
    }

    pub(crate) fn has_ended(&self, now: Time) -> bool {
        now >= self.state.until
    }
}

impl<State> Evacuation<State> {
    pub(crate) fn since(&self) -> Time {
        self.since
    }
}
