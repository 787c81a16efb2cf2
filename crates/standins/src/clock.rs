use rustix::time::{ClockId, clock_gettime};
use usher_types::Time;

/// Time of the host's monotonic clock, which all processes on the host share.
pub(crate) fn now() -> Time {
    let spec = clock_gettime(ClockId::Monotonic);
    Time::from_micros(spec.tv_sec as u64 * 1_000_000 + spec.tv_nsec as u64 / 1_000)
}
