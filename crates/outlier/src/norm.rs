use usher_types::Span;

use crate::{Cause, Observation, OutcomeCounts};

// Callers make three attempts, so up to this share of failures at a host costs one request in 300.
const FAILED_EXCESS: f64 = 0.15;
// Share of failures up to which a host on trial counts as recovered: none while it has had few.
const RECOVERED_EXCESS: f64 = 0.05;
// Hosts have 0.6 to 1.6 times the mean speed, and a mean of few requests varies by a factor of two.
const SLOW_FACTOR: f64 = 4.0;
// Factor below which a host on trial counts as recovered; the slowest sound host is below it.
const RECOVERED_FACTOR: f64 = 2.5;

/// What is usual in a service: the median of its hosts.
///
/// A service that is slow or fails as a whole has no outliers, since most of its hosts are alike.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Norm {
    share: f64,
    pub(crate) work: Span,
}

impl Norm {
    /// The norm of the hosts that are present.
    pub(crate) fn of<Key>(observations: &[Observation<Key>]) -> Self {
        let present = || observations.iter().filter(|host| host.present);
        let mut shares: Vec<f64> = present().map(|host| host.outcomes.share()).collect();
        shares.sort_by(f64::total_cmp);
        let work = present().map(|host| host.work);
        let mut work: Vec<Span> = work.filter(|work| *work > Span::ZERO).collect();
        work.sort_unstable();
        Self {
            share: lower_median(&shares).unwrap_or(0.0),
            work: lower_median(&work).unwrap_or(Span::ZERO),
        }
    }

    /// How far the host is from the others, and in what; an outlier from 1 on.
    pub(crate) fn excess(&self, outcomes: OutcomeCounts, work: Span) -> (f64, Cause) {
        let failing = (outcomes.share() - self.share) / FAILED_EXCESS;
        let slow = self.slowness(work) / SLOW_FACTOR;
        if failing >= slow {
            (failing, Cause::Failing)
        } else {
            (slow, Cause::Slow)
        }
    }

    pub(crate) fn is_failing(&self, outcomes: OutcomeCounts) -> bool {
        outcomes.share() - self.share >= FAILED_EXCESS
    }

    pub(crate) fn is_slow(&self, work: Span) -> bool {
        self.slowness(work) >= SLOW_FACTOR
    }

    /// Whether a host does as well as the others.
    pub(crate) fn is_met(&self, outcomes: OutcomeCounts, work: Span) -> bool {
        outcomes.plain_share() - self.share < RECOVERED_EXCESS
            && self.slowness(work) < RECOVERED_FACTOR
    }

    fn slowness(&self, work: Span) -> f64 {
        if self.work == Span::ZERO {
            return 0.0;
        }
        work.as_secs_f64() / self.work.as_secs_f64()
    }
}

// With an even number of hosts the lower one: where half of the hosts are bad, the other half is
// the norm.
fn lower_median<T: Copy>(sorted: &[T]) -> Option<T> {
    sorted.get(sorted.len().checked_sub(1)? / 2).copied()
}
