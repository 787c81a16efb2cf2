use rustix::time::ClockId;
use usher_types::Span;

use crate::clock::{now, read};

// The clocks are read one after the other, so their offset varies by less than this.
const MIN_SUSPENSION: Span = Span::from_millis(500);

/// Detects suspension of the machine by comparing its boot-time and monotonic clocks.
#[derive(Debug, Clone, Copy)]
pub struct SuspendWatch {
    // Boot-time clock minus monotonic clock.
    offset: Span,
}

impl SuspendWatch {
    /// Starts to watch for suspension.
    ///
    /// ```
    /// assert_eq!(usher_clock::SuspendWatch::new().check(), None);
    /// ```
    #[expect(clippy::new_without_default, reason = "reads the clock")]
    pub fn new() -> Self {
        let offset = read(ClockId::Boottime) - now();
        Self { offset }
    }

    /// How long the machine was suspended since the last call, if it was.
    pub fn check(&mut self) -> Option<Span> {
        let offset = read(ClockId::Boottime) - now();
        let suspended = offset - self.offset;
        self.offset = offset;
        (suspended > MIN_SUSPENSION).then_some(suspended)
    }
}
