use rustix::time::{ClockId, clock_gettime};
use usher_types::Time;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

pub(crate) fn read(clock: ClockId) -> Time {
    let spec = clock_gettime(clock);
    let micros = spec.tv_sec as u64 * MICROS_PER_SECOND + spec.tv_nsec as u64 / NANOS_PER_MICRO;
    Time::from_micros(micros)
}

/// The machine's monotonic clock; it stops while the machine is suspended.
///
/// All processes of a machine read the same clock, so they can exchange deadlines as its readings.
///
/// ```
/// assert!(usher_clock::now() <= usher_clock::now());
/// ```
pub fn now() -> Time {
    read(ClockId::Monotonic)
}

/// Time since the machine started, suspensions included.
///
/// It must not be compared with readings of [`now`].
///
/// ```
/// assert!(usher_clock::since_boot() <= usher_clock::since_boot());
/// ```
pub fn since_boot() -> Time {
    read(ClockId::Boottime)
}

/// Wall-clock time in microseconds; read at start, it identifies the process.
///
/// ```
/// assert!(usher_clock::epoch() > 0);
/// ```
pub fn epoch() -> u64 {
    let wall = clock_gettime(ClockId::Realtime);
    wall.tv_sec as u64 * MICROS_PER_SECOND + wall.tv_nsec as u64 / NANOS_PER_MICRO
}
