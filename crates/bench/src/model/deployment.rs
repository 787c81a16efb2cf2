use usher_types::Span;

use crate::model::Work;

/// One service of a current deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name of the site.
    pub name: &'static str,
    /// Speed of each host relative to the fastest generation's nominal speed.
    pub speeds: Vec<f64>,
    /// Slots per host.
    pub slots: u16,
    /// Balancers.
    pub balancers: usize,
    /// One-way latency between callers and data centres.
    pub edge: Span,
    /// One-way latency between data centres.
    pub inner: Span,
    /// Mix of requests; the shares of short work sum to 1.
    pub mix: Vec<Work>,
    /// Share of requests that run `straggle` times longer.
    pub stragglers: f64,
    /// Factor of a straggler.
    pub straggle: f64,
}

impl Deployment {
    /// Both deployments.
    pub fn all() -> [Self; 2] {
        [Self::riga(), Self::bengal()]
    }

    /// Riga's booking desk: 7 hosts of slightly different speed with 3 slots.
    pub fn riga() -> Self {
        Self {
            name: "riga",
            speeds: vec![1.0, 1.1, 0.9, 1.0, 1.2, 0.8, 1.0],
            slots: 3,
            balancers: 3,
            edge: Span::from_millis(3),
            inner: Span::from_millis(1),
            mix: vec![
                Work::read("schedule", 8, 0.7),
                Work::once("book", 12, 0.3),
                Work::long("map", 400, 0.01),
            ],
            stragglers: 0.001,
            straggle: 10.0,
        }
    }

    /// Bengal's name desk: 7 hosts of two hardware generations with 4 slots.
    pub fn bengal() -> Self {
        Self {
            name: "bengal",
            speeds: vec![1.0, 0.35, 1.0, 0.35, 1.0, 0.35, 1.0],
            slots: 4,
            balancers: 3,
            edge: Span::from_millis(1),
            inner: Span::from_millis(1),
            mix: vec![
                Work::read("record", 6, 0.8),
                Work::once("claim", 10, 0.2),
                Work::long("pedigree", 600, 0.006),
            ],
            stragglers: 0.002,
            straggle: 30.0,
        }
    }

    /// Slot-seconds of work at speed 1 that all hosts do in a second.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Requests per second of the mix that fill the hosts to the share `load`.
    pub fn rate(&self, load: f64) -> f64 {
        let straggling = 1.0 + self.stragglers * (self.straggle - 1.0);
        let total: f64 = self.mix.iter().map(|work| work.share).sum();
        let mean: f64 = self
            .mix
            .iter()
            .map(|work| work.share * work.time.as_secs_f64())
            .sum();
        load * self.capacity() * total / (mean * straggling)
    }

    /// The same service when callers send no long work.
    #[must_use]
    pub fn without_long(mut self) -> Self {
        self.mix.retain(|work| !work.long);
        self
    }
}
