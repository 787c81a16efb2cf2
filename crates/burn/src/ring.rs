use usher_types::{Span, Time};

use crate::Tally;

/// Ring buffer with one tally per time bucket; the newest overwrites the oldest.
#[derive(Debug)]
pub(crate) struct Ring {
    /// Length of time that one bucket covers.
    width: Span,
    // Each tally with the number of its bucket, counted from the clock's origin.
    buckets: Vec<(u64, Tally)>,
}

impl Ring {
    pub(crate) fn new(width: Span, count: usize) -> Self {
        Self {
            width,
            buckets: vec![Default::default(); count],
        }
    }

    /// The tally of the bucket of `now`; resets an older bucket in its place.
    pub(crate) fn tally_at(&mut self, now: Time) -> &mut Tally {
        let bucket_number = self.bucket_number(now);
        let index = bucket_number as usize % self.buckets.len();
        let (stored, tally) = &mut self.buckets[index];
        if *stored != bucket_number {
            *stored = bucket_number;
            *tally = Tally::default();
        }
        tally
    }

    /// Sums the buckets within the window that ends at `now`.
    pub(crate) fn sum(&self, now: Time) -> Tally {
        let newest = self.bucket_number(now);
        let is_recent =
            |stored: u64| stored <= newest && newest - stored < self.buckets.len() as u64;
        let mut sum = Tally::default();
        for (_, tally) in self.buckets.iter().filter(|(stored, _)| is_recent(*stored)) {
            sum += *tally;
        }
        sum
    }

    fn bucket_number(&self, now: Time) -> u64 {
        now.as_micros() / self.width.as_micros()
    }
}
