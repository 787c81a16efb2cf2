use rustix::time::{ClockId, clock_gettime};
use usher_types::Time;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

pub(crate) fn read(clock: ClockId) -> Time {
    let spec = clock_gettime(clock);
    let micros = spec.tv_sec as u64 * MICROS_PER_SECOND + spec.tv_nsec as u64 / NANOS_PER_MICRO;
    Time::from_micros(micros)
}

/// The machine's monotonic clock; it stands while the machine is suspended.
///
/// All processes of a machine share it, so a deadline can pass between them as a reading.
///
/// ```
/// assert!(usher_clock::now() <= usher_clock::now());
/// ```
pub fn now() -> Time {
    read(ClockId::Monotonic)
}

/// A number that tells this process from all others: the time of its start.
///
/// ```
/// assert!(usher_clock::epoch() > 0);
/// ```
pub fn epoch() -> u64 {
    let day = clock_gettime(ClockId::Realtime);
    day.tv_sec as u64 * MICROS_PER_SECOND + day.tv_nsec as u64 / NANOS_PER_MICRO
}
