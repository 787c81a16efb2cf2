use usher_types::{Span, Time};

/// Slots and busy time of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Work done per second by one slot.
    pub speed: f64,
    /// Runs at the same time.
    pub slots: usize,
    /// Runs in progress.
    pub busy: usize,
    /// Runs take longer by this factor until `warm`.
    pub cold: f64,
    /// End of the cold start.
    pub warm: Time,
    /// Busy slot time within the measuring window.
    pub used: Span,
    window: (Time, Time),
}

impl Host {
    /// An idle host; busy time counts within the window.
    ///
    /// ```
    /// use usher_bench::model::Host;
    /// use usher_types::{Span, Time};
    /// let host = Host::new(0.5, 3, (Time::ZERO, Time::ZERO));
    /// assert_eq!(host.length(Time::ZERO, Span::from_millis(5)), Span::from_millis(10));
    /// ```
    pub fn new(speed: f64, slots: u16, window: (Time, Time)) -> Self {
        Self {
            speed,
            slots: usize::from(slots),
            busy: 0,
            cold: 1.0,
            warm: Time::ZERO,
            used: Span::ZERO,
            window,
        }
    }

    /// Time that a run of this much work takes.
    pub fn length(&self, now: Time, work: Span) -> Span {
        let cold = if now < self.warm { self.cold } else { 1.0 };
        work.scale(cold / self.speed)
    }

    /// Whether a slot is free.
    pub fn has_free(&self) -> bool {
        self.busy < self.slots
    }

    /// Takes a slot.
    pub fn begin(&mut self) {
        self.busy += 1;
    }

    /// Frees the slot of a run.
    pub fn end(&mut self, started: Time, now: Time) {
        self.busy -= 1;
        let from = started.max(self.window.0);
        let until = now.min(self.window.1);
        self.used = self.used + until.since(from);
    }
}
