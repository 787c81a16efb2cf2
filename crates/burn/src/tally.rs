use std::ops::AddAssign;

use serde::{Deserialize, Serialize};
use usher_types::{Outcome, Refusal, Share, Time};

/// Counts of request outcomes, as reported to the callers.
///
/// Requests that the caller cancelled or sent malformed are not counted, so that callers cannot
/// spend the service's error budget.
///
/// ```
/// use usher_burn::Tally;
/// use usher_types::{Outcome, Time};
/// let mut tally = Tally::default();
/// tally.count(Time::ZERO, Time::ZERO, &Outcome::Unknown);
/// assert_eq!((tally.requests(), tally.unknown), (1, 1));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answered before the deadline.
    pub in_time: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Not run: refused, shed, expired in the queue or without a host.
    pub refused: u64,
    /// May have run; the answer is lost.
    pub unknown: u64,
    /// Run, but the backend server reported an error.
    pub failed: u64,
}

impl Tally {
    /// Counts one outcome that is sent to the caller at `now`.
    pub fn count(&mut self, now: Time, deadline: Time, outcome: &Outcome) {
        let count = match outcome {
            Outcome::Answered(_) if now <= deadline => &mut self.in_time,
            Outcome::Answered(_) => &mut self.late,
            Outcome::Failed(_) => &mut self.failed,
            Outcome::Unknown => &mut self.unknown,
            Outcome::NotRun {
                refusal: Refusal::Cancelled | Refusal::Invalid,
                ..
            } => return,
            Outcome::NotRun { .. } => &mut self.refused,
        };
        *count += 1;
    }

    /// Number of requests counted.
    pub fn requests(&self) -> u64 {
        self.in_time + self.bad()
    }

    /// Number of requests that were not answered in time.
    pub fn bad(&self) -> u64 {
        self.late + self.refused + self.unknown + self.failed
    }

    /// Fraction of requests that were answered in time; `None` without requests.
    pub fn goodput(&self) -> Option<f64> {
        (self.requests() > 0).then(|| self.in_time as f64 / self.requests() as f64)
    }

    /// Rate at which the error budget is spent. At 1 it lasts for exactly its period.
    ///
    /// `None` without requests, or when the objective leaves no budget.
    ///
    /// ```
    /// use usher_burn::Tally;
    /// use usher_types::Share;
    /// let tally = Tally { in_time: 98, late: 2, ..Tally::default() };
    /// let rate = tally.burn_rate(Share::new(0.99)?).unwrap();
    /// assert!((rate - 2.0).abs() < 1e-9);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn burn_rate(&self, objective: Share) -> Option<f64> {
        let budget = 1.0 - objective.get();
        let goodput = self.goodput().filter(|_| budget > 0.0)?;
        Some((1.0 - goodput) / budget)
    }

    /// Fraction of the error budget that is left; negative when overspent.
    pub fn budget_left(&self, objective: Share) -> Option<f64> {
        self.burn_rate(objective).map(|rate| 1.0 - rate)
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
    }
}
