use std::time::{Duration, Instant};

use rand::Rng;
use tokio::time::sleep;
use usher_types::Span;

use crate::Limits;

/// Exponential backoff with jitter between the attempts of one call.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// End of the time for the whole call.
    deadline: Instant,
    pause: Span,
    max_pause: Span,
}

impl Backoff {
    pub(crate) fn new(limits: &Limits, wait: Span) -> Self {
        Self {
            deadline: Instant::now() + duration(limits.total) + duration(wait),
            pause: limits.first_pause,
            max_pause: limits.max_pause,
        }
    }

    /// Waits before the next attempt; returns false if that would exceed the deadline.
    pub(crate) async fn pause(&mut self, random: f64) -> bool {
        // Half to all of the pause, so that processes that failed together retry at different times.
        let pause = duration(self.pause.scale(0.5 + random / 2.0));
        self.pause = (self.pause * 2).min(self.max_pause);
        if Instant::now() + pause >= self.deadline {
            return false;
        }
        sleep(pause).await;
        true
    }
}

pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}

pub(crate) fn random_fraction(random: &mut impl Rng) -> f64 {
    random.random_range(0.0..1.0)
}
