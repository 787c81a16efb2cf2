use rustix::time::{ClockId, clock_gettime};
use usher_types::Time;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The host's monotonic clock.
///
/// An agent and its backend server share it, so a deadline can pass between them as a reading.
///
/// ```
/// assert!(usher_runtime::now() <= usher_runtime::now());
/// ```
pub fn now() -> Time {
    let spec = clock_gettime(ClockId::Monotonic);
    let micros = spec.tv_sec as u64 * MICROS_PER_SECOND + spec.tv_nsec as u64 / NANOS_PER_MICRO;
    Time::from_micros(micros)
}
