use usher_types::{Span, Time};

use crate::limits::{RETENTION, RUN_LIMIT, shorter};
use crate::record::{Record, State};

/// A record with the local time of its last change.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) state: State,
    pub(crate) changed: Time,
}

impl Entry {
    /// When the entry changes or is dropped without further events.
    pub(crate) fn due(&self) -> Time {
        let rest = match &self.state {
            State::Granted { span, .. } => *span + RUN_LIMIT,
            _ => RETENTION,
        };
        self.changed + rest
    }

    pub(crate) fn to_record(&self, now: Time) -> Record {
        Record {
            state: self.state.clone(),
            elapsed: now - self.changed,
        }
    }

    // The elapsed time is shortened by the drift bound, so that a record lives rather longer.
    pub(crate) fn from_record(record: Record, now: Time) -> Self {
        let elapsed: Span = shorter(record.elapsed);
        Self {
            state: record.state,
            changed: now - elapsed,
        }
    }
}
