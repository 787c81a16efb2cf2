use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{Span, Time};

use crate::fault::Setting;

/// Network between processes, with delay, loss, duplication, late copies and cuts.
#[derive(Debug)]
pub(crate) struct Network {
    rng: Pcg64,
    delay: (Span, Span),
    loss: f64,
    duplicate: f64,
    late: (f64, Span),
    // One name, the names that it is cut off from, and the end of the cut.
    cuts: Vec<(String, Vec<String>, Time)>,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(seed),
            delay: (Span::from_micros(300), Span::from_millis(1)),
            loss: 0.0,
            duplicate: 0.0,
            late: (0.0, Span::ZERO),
            cuts: Vec::new(),
        }
    }

    pub(crate) fn set(&mut self, setting: Setting) {
        match setting {
            Setting::Delay(least, greatest) => self.delay = (least, greatest),
            Setting::Loss(share) => self.loss = share,
            Setting::Duplicate(share) => self.duplicate = share,
            Setting::Late(share, span) => self.late = (share, span),
            _ => {}
        }
    }

    pub(crate) fn cut(&mut self, from: String, to: Vec<String>, until: Time) {
        self.cuts.push((from, to, until));
    }

    pub(crate) fn is_cut(&self, now: Time, a: &str, b: &str) -> bool {
        let separates = |from: &str, to: &[String], x: &str, y: &str| {
            from == x && to.iter().any(|name| name == y)
        };
        self.cuts.iter().any(|(from, to, until)| {
            now < *until && (separates(from, to, a, b) || separates(from, to, b, a))
        })
    }

    /// Arrival times of a packet and its copies; empty if it is lost.
    pub(crate) fn arrivals(&mut self, now: Time, from: &str, to: &str) -> Vec<Time> {
        if self.is_cut(now, from, to) || self.rng.random_bool(self.loss) {
            return Vec::new();
        }
        let mut times = vec![now + self.delay()];
        if self.rng.random_bool(self.duplicate) {
            times.push(now + self.delay());
        }
        if self.rng.random_bool(self.late.0) {
            times.push(now + between(&mut self.rng, Span::ZERO, self.late.1));
        }
        times
    }

    /// Random delay of one packet, or of a call in one direction.
    pub(crate) fn delay(&mut self) -> Span {
        between(&mut self.rng, self.delay.0, self.delay.1)
    }
}

/// Returns a random time span between `least` and `greatest`, both included.
pub(crate) fn between(rng: &mut impl Rng, least: Span, greatest: Span) -> Span {
    Span::from_micros(rng.random_range(least.as_micros()..=greatest.as_micros()))
}
