use usher_types::{Outcome, Time};

use crate::ring::Ring;
use crate::{WINDOWS, Window};

/// Counts the outcomes of one service on one host in sliding windows.
///
/// The windows are 5 min, 1 h and 30 days long.
///
/// Memory is bounded by 810 buckets. The counts are lost when the process ends: they are neither
/// stored nor handed over.
///
/// ```
/// use usher_burn::OutcomeWindows;
/// use usher_types::{Outcome, Time};
/// let mut outcome_windows = OutcomeWindows::new(Time::ZERO);
/// outcome_windows.record(Time::ZERO, Time::ZERO, &Outcome::Unknown);
/// assert!(outcome_windows.windows(Time::ZERO).iter().all(|window| window.tally.unknown == 1));
/// ```
#[derive(Debug)]
pub struct OutcomeWindows {
    started: Time,
    rings: [Ring; WINDOWS.len()],
}

impl OutcomeWindows {
    /// Creates empty windows that cover the time from `now` on.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            rings: WINDOWS.map(|(width, count)| Ring::new(width, count)),
        }
    }

    /// Records an outcome that is sent to its caller.
    pub fn record(&mut self, now: Time, deadline: Time, outcome: &Outcome) {
        for ring in &mut self.rings {
            ring.tally_at(now).count(now, deadline, outcome);
        }
    }

    /// Sums of all windows, the shortest one first.
    pub fn windows(&self, now: Time) -> Vec<Window> {
        let rings = WINDOWS.iter().zip(&self.rings);
        rings
            .map(|((width, count), ring)| {
                let length = *width * *count as u64;
                Window {
                    length,
                    covered: length.min(now.since(self.started)),
                    tally: ring.sum(now),
                }
            })
            .collect()
    }
}
