use usher_types::Time;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Monotonic clock of one machine, with its own origin and a rate within 1 % of the others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    // Microseconds at time 0 of the run.
    origin: u64,
    // Microseconds that the clock gains in each second of the run.
    rate: u64,
}

impl Clock {
    /// Creates a clock that starts at `origin` and runs `drift` microseconds fast in each second.
    pub(crate) fn new(origin: Time, drift: i64) -> Self {
        Self {
            origin: origin.as_micros(),
            rate: MICROS_PER_SECOND.saturating_add_signed(drift),
        }
    }

    /// Reading of this clock at a time of the run.
    pub(crate) fn read(self, now: Time) -> Time {
        Time::from_micros(self.origin + now.as_micros() * self.rate / MICROS_PER_SECOND)
    }

    /// First time of the run at which this clock reads at least `reading`.
    pub(crate) fn when(self, reading: Time) -> Time {
        let passed = reading.as_micros().saturating_sub(self.origin);
        Time::from_micros((passed * MICROS_PER_SECOND).div_ceil(self.rate))
    }
}
