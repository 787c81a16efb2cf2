use usher_types::{Span, Time};

use crate::limits::{RETENTION, RUN_LIMIT, lower_bound};
use crate::record::{Record, State};

/// A record with the local time of its last change.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) state: State,
    pub(crate) changed: Time,
}

impl Entry {
    /// When the entry expires if no event changes it earlier.
    pub(crate) fn due(&self) -> Time {
        let remaining = match &self.state {
            State::Granted { span, .. } => *span + RUN_LIMIT,
            _ => RETENTION,
        };
        self.changed + remaining
    }

    pub(crate) fn to_record(&self, now: Time) -> Record {
        Record {
            state: self.state.clone(),
            elapsed: now - self.changed,
        }
    }

    // The elapsed time is reduced by the drift bound, so that clock drift never expires a record early.
    pub(crate) fn from_record(record: Record, now: Time) -> Self {
        let elapsed: Span = lower_bound(record.elapsed);
        Self {
            state: record.state,
            changed: now - elapsed,
        }
    }
}
