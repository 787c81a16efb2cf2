use usher_types::{ColdRate, Span, Time};

// Length of a slice of the sliding second.
const SLICE: Span = Span::from_millis(25);
// A whole second and the slice that has begun.
const SLICES: usize = 41;
// Opening packets repeated by callers that a backend server gets beyond the rate. Operators count a
// violation above 1.5 times the rate and 5 more.
const EXTRA_COPIES: u32 = 5;
// An agent that has just started does not know what its predecessor admitted in the last second.
const UNKNOWN_TIME: Span = Span::from_secs(1);

/// Number of opening packets that a cold backend server gets in any second.
///
/// Counts them in slices of the last second. A count leaves the window up to one slice late, so the
/// limit holds for every second, whenever it begins.
#[derive(Debug, Clone)]
pub(crate) struct ColdLimit {
    rate: ColdRate,
    slices: [u16; SLICES],
    /// Number of the slice in which the last packet was counted.
    latest: u64,
    started: Time,
}

impl ColdLimit {
    /// The limit at an agent that starts at `now`.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            rate: ColdRate::NONE,
            slices: [0; SLICES],
            latest: 0,
            started: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: ColdRate) {
        self.rate = rate;
    }

    /// Whether one more flow fits into the second that ends at `now`.
    pub(crate) fn admits(&self, now: Time) -> bool {
        self.rate == ColdRate::NONE || self.counted(now) < self.limit(now)
    }

    /// Whether one more copy of an opening packet fits into the second that ends at `now`.
    pub(crate) fn admits_copy(&self, now: Time) -> bool {
        let limit = if self.is_new(now) {
            self.limit(now)
        } else {
            self.limit(now) + EXTRA_COPIES
        };
        self.rate == ColdRate::NONE || self.counted(now) < limit
    }

    /// Counts a packet that the backend server gets at `now`.
    pub(crate) fn count(&mut self, now: Time) {
        let slice = slice_at(now);
        // Clears the slices that have left the window since the last packet.
        for expired in (self.latest + 1..=slice).take(SLICES) {
            self.slices[index(expired)] = 0;
        }
        self.latest = self.latest.max(slice);
        let count = &mut self.slices[index(slice)];
        *count = count.saturating_add(1);
    }

    fn counted(&self, now: Time) -> u32 {
        let slice = slice_at(now);
        let oldest = slice.saturating_sub(SLICES as u64 - 1);
        let newest = self.latest.min(slice);
        let first = oldest.max(self.latest.saturating_sub(SLICES as u64 - 1));
        (first..=newest)
            .map(|slice| u32::from(self.slices[index(slice)]))
            .sum()
    }

    // Half the rate after the start: what the predecessor admitted counts for the same second.
    fn limit(&self, now: Time) -> u32 {
        let rate = u32::from(self.rate.get());
        if self.is_new(now) {
            rate.div_ceil(2)
        } else {
            rate
        }
    }

    fn is_new(&self, now: Time) -> bool {
        now - self.started < UNKNOWN_TIME
    }
}

fn slice_at(now: Time) -> u64 {
    now.as_micros() / SLICE.as_micros()
}

fn index(slice: u64) -> usize {
    (slice % SLICES as u64) as usize
}
