use usher_types::{Span, Time};

/// A simulated backend server: its speed, slots and busy time.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Work that one slot does per second, relative to speed 1.
    pub speed: f64,
    /// Requests that can run at the same time.
    pub slots: usize,
    /// Requests that are running.
    pub busy: usize,
    /// Factor by which running times are longer before `warm_at`.
    pub cold_factor: f64,
    /// End of the slow phase after a start.
    pub warm_at: Time,
    /// Sum of the busy times of all slots within the measuring window.
    pub busy_time: Span,
    window: (Time, Time),
}

impl Host {
    /// Creates an idle host that counts busy time within the window.
    ///
    /// ```
    /// use usher_bench::model::Host;
    /// use usher_types::{Span, Time};
    /// let host = Host::new(0.5, 3, (Time::ZERO, Time::ZERO));
    /// assert_eq!(host.duration(Time::ZERO, Span::from_millis(5)), Span::from_millis(10));
    /// ```
    pub fn new(speed: f64, slots: u16, window: (Time, Time)) -> Self {
        Self {
            speed,
            slots: usize::from(slots),
            busy: 0,
            cold_factor: 1.0,
            warm_at: Time::ZERO,
            busy_time: Span::ZERO,
            window,
        }
    }

    /// Running time of a request with this much work.
    pub fn duration(&self, now: Time, work: Span) -> Span {
        let cold = if now < self.warm_at {
            self.cold_factor
        } else {
            1.0
        };
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

    /// Frees the slot of a request that started at `started`.
    pub fn end(&mut self, started: Time, now: Time) {
        self.busy -= 1;
        let from = started.max(self.window.0);
        let until = now.min(self.window.1);
        self.busy_time = self.busy_time + until.since(from);
    }
}
