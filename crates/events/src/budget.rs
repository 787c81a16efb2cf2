use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

// Event numbers in use are below this.
const CODES: usize = 4_096;

static LIMIT: AtomicU32 = AtomicU32::new(u32::MAX);
static START: OnceLock<Instant> = OnceLock::new();
static SLOTS: [Slot; CODES] = [const { Slot::new() }; CODES];

/// What one event has used of its budget.
#[derive(Debug)]
struct Slot {
    /// The second in the upper half, the lines of that second in the lower half.
    used: AtomicU64,
    omitted: AtomicU64,
    total: AtomicU64,
}

impl Slot {
    const fn new() -> Self {
        Self {
            used: AtomicU64::new(0),
            omitted: AtomicU64::new(0),
            total: AtomicU64::new(0),
        }
    }

    // Whether a line may be written in a second.
    fn admit(&self, second: u64, limit: u64) -> bool {
        let fresh = second << 32;
        let update = |used: u64| {
            let used = if used >> 32 == second { used } else { fresh };
            Some(used + 1)
        };
        let before = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .unwrap_or(fresh);
        let lines = if before >> 32 == second {
            before & u64::from(u32::MAX)
        } else {
            0
        };
        lines < limit
    }
}

/// Limits the lines of each event to a number a second. Lines beyond it are left out; the event's
/// next line tells how many.
///
/// ```
/// usher_events::limit(100);
/// ```
pub fn limit(lines: u32) {
    START.get_or_init(Instant::now);
    LIMIT.store(lines, Ordering::Relaxed);
}

/// Counts of an event since the process started: how often it happened.
///
/// ```
/// assert_eq!(usher_events::total(1), 0);
/// ```
pub fn total(code: u16) -> u64 {
    slot(code).map_or(0, |slot| slot.total.load(Ordering::Relaxed))
}

/// Counts an event that happens, whether a line is written or not.
pub(crate) fn count(code: u16) {
    if let Some(slot) = slot(code) {
        slot.total.fetch_add(1, Ordering::Relaxed);
    }
}

/// Takes a line out of an event's budget. Returns the number of lines left out before it, or
/// nothing if the line is to be left out too.
pub(crate) fn take(code: u16) -> Option<u64> {
    let limit = LIMIT.load(Ordering::Relaxed);
    let (Some(slot), Some(start)) = (slot(code), START.get()) else {
        return Some(0);
    };
    if slot.admit(start.elapsed().as_secs(), u64::from(limit)) {
        return Some(slot.omitted.swap(0, Ordering::Relaxed));
    }
    slot.omitted.fetch_add(1, Ordering::Relaxed);
    None
}

fn slot(code: u16) -> Option<&'static Slot> {
    SLOTS.get(usize::from(code))
}
