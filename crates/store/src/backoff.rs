use std::time::{Duration, Instant};

use rand::Rng;
use tokio::time::sleep;
use usher_types::Span;

use crate::Limits;

/// Pauses between the attempts of one call: jittered, doubling up to a cap.
#[derive(Debug)]
pub(crate) struct Backoff {
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

    /// Waits before the next attempt; false when no time is left for one.
    pub(crate) async fn pause(&mut self, random: f64) -> bool {
        // Between half and all of the pause, so that processes that failed together spread out.
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

pub(crate) fn fraction(random: &mut impl Rng) -> f64 {
    random.random_range(0.0..1.0)
}
