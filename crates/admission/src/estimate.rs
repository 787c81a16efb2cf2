use indexmap::IndexMap;
use usher_types::Span;

// Limits memory, as callers choose the method names; further methods share one estimate.
const MAX_METHODS: usize = 1_024;
// A sample counts for at most this multiple of the estimate, which limits the effect of outliers.
const MAX_SAMPLE_RATIO: f64 = 4.0;
const SMOOTHING: f64 = 0.1;
// Assumed service time until the first run has ended.
const DEFAULT_ESTIMATE: Span = Span::from_millis(10);

/// Exponentially smoothed mean of service times, with clipped outliers.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: Span,
    samples: u32,
}

impl Mean {
    fn add(&mut self, sample: Span) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = sample;
            return;
        }
        let clipped = sample.min(self.value.scale(MAX_SAMPLE_RATIO).max(Span::from_micros(1)));
        let alpha = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.value = self.value.scale(1.0 - alpha) + clipped.scale(alpha);
    }
}

/// Estimated service time of each method, and of all methods together.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    methods: IndexMap<String, Mean>,
    overall: Mean,
}

impl Estimates {
    pub(crate) fn add(&mut self, method: &str, sample: Span) {
        self.overall.add(sample);
        if let Some(mean) = self.methods.get_mut(method) {
            mean.add(sample);
        } else if self.methods.len() < MAX_METHODS {
            let mut mean = Mean::default();
            mean.add(sample);
            self.methods.insert(method.to_owned(), mean);
        }
    }

    /// Measured service time of a method.
    pub(crate) fn of(&self, method: &str) -> Option<Span> {
        self.methods.get(method).map(|mean| mean.value)
    }

    /// Service time to assume for a method that has not been measured.
    pub(crate) fn overall(&self) -> Span {
        if self.overall.samples == 0 {
            DEFAULT_ESTIMATE
        } else {
            self.overall.value
        }
    }
}
