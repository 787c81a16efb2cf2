use usher_types::{Span, Time};

use crate::Tally;

/// Tallies of the last buckets of equal width; older ones are overwritten.
#[derive(Debug)]
pub(crate) struct Ring {
    width: Span,
    // Each with the number of its bucket, counted from the clock's origin.
    buckets: Vec<(u64, Tally)>,
}

impl Ring {
    pub(crate) fn new(width: Span, count: usize) -> Self {
        Self {
            width,
            buckets: vec![Default::default(); count],
        }
    }

    /// The bucket of a time, empty if it held an older one.
    pub(crate) fn at(&mut self, now: Time) -> &mut Tally {
        let number = self.number(now);
        let place = number as usize % self.buckets.len();
        let (held, tally) = &mut self.buckets[place];
        if *held != number {
            *held = number;
            *tally = Tally::default();
        }
        tally
    }

    /// Sum over all buckets that lie within the window that ends now.
    pub(crate) fn sum(&self, now: Time) -> Tally {
        let newest = self.number(now);
        let is_recent = |held: u64| held <= newest && newest - held < self.buckets.len() as u64;
        let mut sum = Tally::default();
        for (_, tally) in self.buckets.iter().filter(|(held, _)| is_recent(*held)) {
            sum += *tally;
        }
        sum
    }

    fn number(&self, now: Time) -> u64 {
        now.as_micros() / self.width.as_micros()
    }
}
