use usher_types::{Span, Time};

use crate::limits::STALL_THRESHOLD;

// Half of `STALL_THRESHOLD`, so that a late timer is not taken for a pause.
const TICK_INTERVAL: Span = Span::from_secs(1);
// Time in which a resumed process reads the packets that wait in its sockets.
const CATCH_UP_WINDOW: Span = Span::from_secs(5);

/// Detects pauses of this process, which are missing from the age of packets in its sockets.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_event: Option<Time>,
    understated: Span,
    expires: Time,
}

impl StallDetector {
    /// Records an event; returns by how much ages of requests may be understated.
    pub(crate) fn observe(&mut self, now: Time) -> Span {
        let gap = self
            .last_event
            .map_or(Span::ZERO, |last_event| now - last_event);
        if now >= self.expires {
            self.understated = Span::ZERO;
        }
        if gap >= STALL_THRESHOLD {
            self.understated = self.understated + gap;
            self.expires = now + CATCH_UP_WINDOW;
        }
        self.last_event = self.last_event.max(Some(now));
        self.understated
    }

    pub(crate) fn next_timer(&self) -> Time {
        self.last_event
            .map_or(Time::ZERO, |last_event| last_event + TICK_INTERVAL)
    }
}
