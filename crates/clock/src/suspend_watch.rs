use rustix::time::ClockId;
use usher_types::Span;

use crate::clock::{now, read};

// A gap between the clocks below this may come from reading one after the other.
const SUSPENDED: Span = Span::from_millis(500);

/// Finds times in which the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct SuspendWatch {
    gap: Span,
}

impl SuspendWatch {
    /// Starts to watch.
    ///
    /// ```
    /// assert_eq!(usher_clock::SuspendWatch::new().check(), None);
    /// ```
    #[expect(clippy::new_without_default, reason = "reads the clock")]
    pub fn new() -> Self {
        let gap = read(ClockId::Boottime) - now();
        Self { gap }
    }

    /// Time that the machine was suspended since the last call, if it was.
    pub fn check(&mut self) -> Option<Span> {
        let gap = read(ClockId::Boottime) - now();
        let grown = gap - self.gap;
        self.gap = gap;
        (grown > SUSPENDED).then_some(grown)
    }
}
