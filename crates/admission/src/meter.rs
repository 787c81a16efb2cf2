use usher_types::{Slots, Span, Time, Weight};

const MEASURE_INTERVAL: Span = Span::from_secs(10);
const RAMP_DURATION: Span = Span::from_secs(30);
const RAMP_INTERVAL: Span = Span::from_secs(1);
// Part of the measured weight that a host announces when it starts.
const RAMP_START: f64 = 0.1;
// A measured weight that differs by no more than this ratio is ignored.
const HYSTERESIS: f64 = 0.1;
// Limit of the change of the weight within a measuring interval.
const MAX_CHANGE_RATIO: f64 = 1.25;
// An interval with fewer runs is extended, as its measurement would be too noisy.
const MIN_RUNS: u32 = 20;
// Completions per second, over all slots of a host, that correspond to the nominal weight.
const NOMINAL_RATE: f64 = 300.0;
// A host whose runs all fail still gets a few requests, so that its recovery is noticed.
const MIN_WEIGHT: f64 = 10.0;

/// Measures the capacity of the backend server and derives the weight of the host.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    started: Option<Time>,
    interval_start: Time,
    /// Measured weight, before the ramp is applied.
    base: Option<f64>,
    /// Part of the weight that is announced, from `RAMP_START` to 1.
    ramp: f64,
    runs: u32,
    completions: u32,
    busy: Span,
}

impl Meter {
    /// Adds a run of the short class, or a failed run.
    ///
    /// Long runs are left out: their share of the load differs between hosts by chance.
    pub(crate) fn add(&mut self, busy: Span, success: bool) {
        self.runs += 1;
        self.completions += u32::from(success);
        self.busy = self.busy + busy;
    }

    /// Updates the ramp factor and closes a measuring interval that is over.
    pub(crate) fn advance(&mut self, now: Time, slots: Slots) {
        let started = *self.started.get_or_insert_with(|| {
            self.interval_start = now;
            now
        });
        let age = now.since(started);
        let ramp = age.as_secs_f64() / RAMP_DURATION.as_secs_f64();
        self.ramp = (RAMP_START + (1.0 - RAMP_START) * ramp).min(1.0);
        if now.since(self.interval_start) >= MEASURE_INTERVAL {
            self.interval_start = now;
            self.close_interval(slots, age <= RAMP_DURATION);
        }
    }

    /// Updates the weight; during a cold start, the measured value is taken without limits.
    fn close_interval(&mut self, slots: Slots, cold: bool) {
        if self.runs < MIN_RUNS {
            return;
        }
        let rate = f64::from(self.completions) / self.busy.as_secs_f64().max(f64::EPSILON);
        let nominal = f64::from(Weight::NOMINAL.get());
        let measured = (rate * f64::from(slots.get()) / NOMINAL_RATE * nominal).max(MIN_WEIGHT);
        self.base = Some(match self.base {
            Some(base) if (measured / base - 1.0).abs() <= HYSTERESIS => base,
            Some(base) if !cold => measured.clamp(base / MAX_CHANGE_RATIO, base * MAX_CHANGE_RATIO),
            _ => measured,
        });
        self.runs = 0;
        self.completions = 0;
        self.busy = Span::ZERO;
    }

    pub(crate) fn weight(&self) -> Weight {
        let base = self.base.unwrap_or(f64::from(Weight::NOMINAL.get()));
        let weight = base * self.ramp.max(RAMP_START);
        Weight::new(weight.round().max(1.0) as u32)
    }

    /// When the weight is to be computed again.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        let started = self.started?;
        let interval_end = self.interval_start + MEASURE_INTERVAL;
        if self.ramp >= 1.0 {
            return Some(interval_end);
        }
        let elapsed = (self.ramp - RAMP_START) / (1.0 - RAMP_START) * RAMP_DURATION.as_secs_f64();
        let seconds = elapsed.round() as u64 + 1;
        Some(interval_end.min(started + RAMP_INTERVAL * seconds))
    }
}
