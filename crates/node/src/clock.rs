use rustix::time::{ClockId, clock_gettime};
use usher_types::{Span, Time};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
// A gap between the clocks below this may come from reading one after the other.
const SUSPENDED: Span = Span::from_millis(500);

fn read(clock: ClockId) -> Time {
    let spec = clock_gettime(clock);
    let micros = spec.tv_sec as u64 * MICROS_PER_SECOND + spec.tv_nsec as u64 / NANOS_PER_MICRO;
    Time::from_micros(micros)
}

/// The machine's monotonic clock; it stands while the machine is suspended.
pub(crate) fn now() -> Time {
    read(ClockId::Monotonic)
}

/// A number that tells this process from all others: the time of its start.
pub(crate) fn epoch() -> u64 {
    let day = clock_gettime(ClockId::Realtime);
    day.tv_sec as u64 * MICROS_PER_SECOND + day.tv_nsec as u64 / NANOS_PER_MICRO
}

/// Finds times in which the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspendWatch {
    gap: Span,
}

impl SuspendWatch {
    pub(crate) fn new() -> Self {
        let gap = read(ClockId::Boottime) - now();
        Self { gap }
    }

    /// Time that the machine was suspended since the last call, if it was.
    pub(crate) fn check(&mut self) -> Option<Span> {
        let gap = read(ClockId::Boottime) - now();
        let grown = gap - self.gap;
        self.gap = gap;
        (grown > SUSPENDED).then_some(grown)
    }
}
