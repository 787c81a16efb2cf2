use usher_types::Time;

const MILLION: u64 = 1_000_000;

/// Monotonic clock of one host: its own origin and a rate within 1 % of the others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: u64,
    rate: u64,
}

impl Clock {
    /// A clock that starts at `origin` and gains `drift` microseconds in each second.
    pub(crate) fn new(origin: Time, drift: i64) -> Self {
        Self {
            origin: origin.as_micros(),
            rate: MILLION.saturating_add_signed(drift),
        }
    }

    /// Reading of this clock at a time of the run.
    pub(crate) fn read(self, now: Time) -> Time {
        Time::from_micros(self.origin + now.as_micros() * self.rate / MILLION)
    }

    /// First time of the run at which this clock reads at least `reading`.
    pub(crate) fn when(self, reading: Time) -> Time {
        let passed = reading.as_micros().saturating_sub(self.origin);
        Time::from_micros((passed * MILLION).div_ceil(self.rate))
    }
}
