use std::mem;

use rustix::time::ClockId;
use usher_types::{Span, Time};

use crate::clock::{now, read};

// The clocks are read one after the other, so their offset varies by less than this.
const MIN_SUSPENSION: Span = Span::from_millis(500);

// A process checks several times a second, also on a slow machine.
const MIN_PAUSE: Span = Span::from_secs(2);

/// Detects that the machine was suspended or the process was paused.
///
/// A suspension shows in the difference of the boot-time and monotonic clocks, a pause in the time
/// between two checks.
#[derive(Debug, Clone, Copy)]
pub struct SuspendWatch {
    // Boot-time clock minus monotonic clock.
    offset: Span,
    checked_at: Time,
}

impl SuspendWatch {
    /// Starts to watch.
    ///
    /// ```
    /// assert_eq!(usher_clock::SuspendWatch::new().check(), None);
    /// ```
    #[expect(clippy::new_without_default, reason = "reads the clock")]
    pub fn new() -> Self {
        let checked_at = now();
        let offset = read(ClockId::Boottime) - checked_at;
        Self { offset, checked_at }
    }

    /// How long the process did not run since the last call, if that was long.
    ///
    /// It has to be called several times a second.
    pub fn check(&mut self) -> Option<Span> {
        let before = mem::replace(self, Self::new());
        let suspended = self.offset - before.offset;
        let paused = self.checked_at - before.checked_at;
        (suspended > MIN_SUSPENSION || paused > MIN_PAUSE).then(|| suspended + paused)
    }

    /// How long the machine was suspended since the last call, if that was long.
    ///
    /// Waits that are measured by [`now`] do not count this time.
    ///
    /// ```
    /// assert_eq!(usher_clock::SuspendWatch::new().check_suspension(), None);
    /// ```
    pub fn check_suspension(&mut self) -> Option<Span> {
        let before = mem::replace(self, Self::new());
        let suspended = self.offset - before.offset;
        (suspended > MIN_SUSPENSION).then_some(suspended)
    }
}
