use usher_types::Span;

use crate::model::Work;

/// One service of an existing deployment: its hosts, latencies and request mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name of the site that runs it.
    pub name: &'static str,
    /// Speed of each host relative to the nominal speed of the fastest hardware generation.
    pub speeds: Vec<f64>,
    /// Requests that a host runs at the same time.
    pub slots: u16,
    /// Number of balancers.
    pub balancers: usize,
    /// One-way latency between callers and data centres.
    pub caller_latency: Span,
    /// One-way latency between data centres.
    pub centre_latency: Span,
    /// Kinds of requests; the shares of the short ones sum to 1.
    pub mix: Vec<Work>,
    /// Share of short requests that run `straggler_factor` times longer.
    pub straggler_share: f64,
    /// Factor by which a straggler's running time grows.
    pub straggler_factor: f64,
}

impl Deployment {
    /// Returns both deployments.
    pub fn all() -> [Self; 2] {
        [Self::riga(), Self::bengal()]
    }

    /// Riga's booking desk: 7 hosts of slightly different speeds, with 3 slots each.
    pub fn riga() -> Self {
        Self {
            name: "riga",
            speeds: vec![1.0, 1.1, 0.9, 1.0, 1.2, 0.8, 1.0],
            slots: 3,
            balancers: 3,
            caller_latency: Span::from_millis(3),
            centre_latency: Span::from_millis(1),
            mix: vec![
                Work::read("schedule", 8, 0.7),
                Work::once("book", 12, 0.3),
                Work::long("map", 400, 0.01),
            ],
            straggler_share: 0.001,
            straggler_factor: 10.0,
        }
    }

    /// Bengal's name desk: 7 hosts of two hardware generations, with 4 slots each.
    pub fn bengal() -> Self {
        Self {
            name: "bengal",
            speeds: vec![1.0, 0.35, 1.0, 0.35, 1.0, 0.35, 1.0],
            slots: 4,
            balancers: 3,
            caller_latency: Span::from_millis(1),
            centre_latency: Span::from_millis(1),
            mix: vec![
                Work::read("record", 6, 0.8),
                Work::once("claim", 10, 0.2),
                Work::long("pedigree", 600, 0.006),
            ],
            straggler_share: 0.002,
            straggler_factor: 30.0,
        }
    }

    /// Work that all hosts together do in a second, in slot-seconds at speed 1.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Requests per second of the mix that use the share `load` of the capacity.
    pub fn rate(&self, load: f64) -> f64 {
        let straggling = 1.0 + self.straggler_share * (self.straggler_factor - 1.0);
        let total: f64 = self.mix.iter().map(|work| work.share).sum();
        let mean: f64 = self
            .mix
            .iter()
            .map(|work| work.share * work.time.as_secs_f64())
            .sum();
        load * self.capacity() * total / (mean * straggling)
    }

    /// Returns the same service without the long requests.
    #[must_use]
    pub fn without_long(mut self) -> Self {
        self.mix.retain(|work| !work.long);
        self
    }
}
