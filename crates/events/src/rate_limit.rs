use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

// Event codes in use are below this.
const CODE_COUNT: usize = 4_096;

static LINES_PER_SECOND: AtomicU32 = AtomicU32::new(u32::MAX);
static START: OnceLock<Instant> = OnceLock::new();
static COUNTERS: [EventCounters; CODE_COUNT] = [const { EventCounters::new() }; CODE_COUNT];

/// Counters of one event.
#[derive(Debug)]
struct EventCounters {
    /// A second in the upper 32 bits, its number of lines in the lower 32.
    usage: AtomicU64,
    /// Lines left out since the last line that was written.
    omitted: AtomicU64,
    /// Occurrences since the process started.
    occurrences: AtomicU64,
}

impl EventCounters {
    const fn new() -> Self {
        Self {
            usage: AtomicU64::new(0),
            omitted: AtomicU64::new(0),
            occurrences: AtomicU64::new(0),
        }
    }

    /// Counts a line in `second` and returns whether it is within the limit.
    fn admit(&self, second: u64, limit: u64) -> bool {
        let empty = second << 32;
        let update = |usage: u64| {
            let usage = if usage >> 32 == second { usage } else { empty };
            Some(usage + 1)
        };
        let before = self
            .usage
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .unwrap_or(empty);
        let lines = if before >> 32 == second {
            before & u64::from(u32::MAX)
        } else {
            0
        };
        lines < limit
    }
}

/// Limits the log lines of each event to `lines` per second.
///
/// Lines beyond the limit are left out; the event's next line says how many.
///
/// ```
/// usher_events::limit_per_second(100);
/// ```
pub fn limit_per_second(lines: u32) {
    START.get_or_init(Instant::now);
    LINES_PER_SECOND.store(lines, Ordering::Relaxed);
}

/// Number of times that an event has happened since the process started.
///
/// ```
/// assert_eq!(usher_events::occurrences(1), 0);
/// ```
pub fn occurrences(code: u16) -> u64 {
    counters(code).map_or(0, |counters| counters.occurrences.load(Ordering::Relaxed))
}

/// Counts an occurrence of an event, whether a line is written or not.
pub(crate) fn count_event(code: u16) {
    if let Some(counters) = counters(code) {
        counters.occurrences.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts a line of an event against the limit.
///
/// Returns the number of lines left out before it, or `None` if this line is to be left out too.
pub(crate) fn admit_line(code: u16) -> Option<u64> {
    let limit = LINES_PER_SECOND.load(Ordering::Relaxed);
    let (Some(counters), Some(start)) = (counters(code), START.get()) else {
        return Some(0);
    };
    if counters.admit(start.elapsed().as_secs(), u64::from(limit)) {
        return Some(counters.omitted.swap(0, Ordering::Relaxed));
    }
    counters.omitted.fetch_add(1, Ordering::Relaxed);
    None
}

fn counters(code: u16) -> Option<&'static EventCounters> {
    COUNTERS.get(usize::from(code))
}
