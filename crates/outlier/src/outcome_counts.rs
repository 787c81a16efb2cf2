use serde::{Deserialize, Serialize};
use usher_types::Span;

use crate::outcome_window::remaining;

// Counts are stored in halves: outcomes lose weight, and one must not vanish within a trial.
const PARTS: f64 = 2.0;
// Outcomes added to the count before a share is taken, so that one failure of a host that gets few
// requests is not a large share.
const PRIOR: f64 = 5.0;

/// Requests that a host has answered and failed in the last seconds, as a report carries them.
///
/// Two bytes: higher counts are scaled down together, which keeps the share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// In parts of an outcome, like `failed`.
    answered: u8,
    failed: u8,
}

impl OutcomeCounts {
    /// Counts of answered and failed requests.
    ///
    /// ```
    /// use usher_outlier::OutcomeCounts;
    /// assert_eq!(OutcomeCounts::new(510.0, 51.0), OutcomeCounts::new(255.0, 25.5));
    /// ```
    pub fn new(answered: f64, failed: f64) -> Self {
        let limit = f64::from(u8::MAX) / PARTS;
        let most = answered.max(failed).max(limit);
        let scaled = |count: f64| (count * limit / most * PARTS).round() as u8;
        Self {
            answered: scaled(answered),
            failed: scaled(failed),
        }
    }

    /// Answered requests.
    pub fn answered(self) -> f64 {
        f64::from(self.answered) / PARTS
    }

    /// Failed requests.
    pub fn failed(self) -> f64 {
        f64::from(self.failed) / PARTS
    }

    /// Share of failed requests; low while there are few outcomes.
    pub(crate) fn share(self) -> f64 {
        self.failed() / (self.total() + PRIOR)
    }

    /// Share of failed requests, however few there are.
    pub(crate) fn plain_share(self) -> f64 {
        self.failed() / self.total().max(1.0)
    }

    pub(crate) fn total(self) -> f64 {
        self.answered() + self.failed()
    }

    /// The outcomes that were added after `earlier`, which were counted `age` ago.
    pub(crate) fn since(self, earlier: Self, age: Span) -> Self {
        let left = remaining(age);
        Self::new(
            (self.answered() - earlier.answered() * left).max(0.0),
            (self.failed() - earlier.failed() * left).max(0.0),
        )
    }
}
