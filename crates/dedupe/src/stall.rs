use usher_types::{Span, Time};

use crate::limits::SILENCE;

// Half of the silence that counts as a pause, so that a late timer does not look like one.
const TICK: Span = Span::from_secs(1);
// Time in which a process that runs again reads what its sockets hold.
const CATCH_UP: Span = Span::from_secs(5);

/// Pauses of this process, during which packets wait in its sockets and their age stands still.
#[derive(Debug, Default)]
pub(crate) struct Stall {
    last: Option<Time>,
    length: Span,
    until: Time,
}

impl Stall {
    /// Notes that the process runs; returns by how much ages of requests may be understated.
    pub(crate) fn observe(&mut self, now: Time) -> Span {
        let silence = self.last.map_or(Span::ZERO, |last| now - last);
        if now >= self.until {
            self.length = Span::ZERO;
        }
        if silence >= SILENCE {
            self.length = self.length + silence;
            self.until = now + CATCH_UP;
        }
        self.last = self.last.max(Some(now));
        self.length
    }

    pub(crate) fn next_timer(&self) -> Time {
        self.last.map_or(Time::ZERO, |last| last + TICK)
    }
}
