use usher_types::{Slots, Span, Time, Weight};

const STEP: Span = Span::from_secs(10);
const RAMP: Span = Span::from_secs(30);
const RAMP_STEP: Span = Span::from_secs(1);
const RAMP_START: f64 = 0.1;
const HYSTERESIS: f64 = 0.1;
const MAX_FACTOR: f64 = 1.25;
// Fewer runs in a step say little about the host.
const MIN_RUNS: u32 = 20;
// Completions per second of a whole host that correspond to the nominal weight.
const NOMINAL_RATE: f64 = 300.0;
// A host whose runs all fail keeps a few requests, so that its recovery is seen.
const FLOOR: f64 = 10.0;

/// Measures the strength of the backend server.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    started: Option<Time>,
    stepped: Time,
    base: Option<f64>,
    ramp: f64,
    runs: u32,
    completions: u32,
    busy: Span,
}

impl Meter {
    /// Adds a run of the short class.
    ///
    /// Long runs are left out: their share differs between hosts by chance.
    pub(crate) fn add(&mut self, busy: Span, success: bool) {
        self.runs += 1;
        self.completions += u32::from(success);
        self.busy = self.busy + busy;
    }

    /// Advances the ramp and closes a measuring step that is over.
    pub(crate) fn advance(&mut self, now: Time, slots: Slots) {
        let started = *self.started.get_or_insert_with(|| {
            self.stepped = now;
            now
        });
        let age = now.since(started);
        let ramp = age.as_secs_f64() / RAMP.as_secs_f64();
        self.ramp = (RAMP_START + (1.0 - RAMP_START) * ramp).min(1.0);
        if now.since(self.stepped) >= STEP {
            self.stepped = now;
            self.step(slots, age <= RAMP);
        }
    }

    /// During the cold start the measured value is adopted as it is.
    fn step(&mut self, slots: Slots, cold: bool) {
        if self.runs < MIN_RUNS {
            return;
        }
        let rate = f64::from(self.completions) / self.busy.as_secs_f64().max(f64::EPSILON);
        let nominal = f64::from(Weight::NOMINAL.get());
        let measured = (rate * f64::from(slots.get()) / NOMINAL_RATE * nominal).max(FLOOR);
        self.base = Some(match self.base {
            Some(base) if (measured / base - 1.0).abs() <= HYSTERESIS => base,
            Some(base) if !cold => measured.clamp(base / MAX_FACTOR, base * MAX_FACTOR),
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
        let step = self.stepped + STEP;
        if self.ramp >= 1.0 {
            return Some(step);
        }
        let elapsed = (self.ramp - RAMP_START) / (1.0 - RAMP_START) * RAMP.as_secs_f64();
        let seconds = elapsed.round() as u64 + 1;
        Some(step.min(started + RAMP_STEP * seconds))
    }
}
