use std::mem;

use usher_types::Span;

// Balancers that call again early. They are more than one, since one may be cut off from the store, and
// few, since each of these calls costs the store one.
const EARLY_BALANCERS: usize = 3;

// Step by which the early calls end. The first answer is missed after this time and the limit of a call,
// and the balancer that notices it reads the configuration, 2 s after the change.
const EARLY_STEP: Span = Span::from_secs(1);

// Longest time in which no balancer of a small fleet calls the store.
const FLEET_INTERVAL: Span = Span::from_secs(3);

/// How long a balancer's calls for changes of one kind wait.
///
/// A change ends the calls of all balancers, which then call again at the same moment. A store that
/// falls silent just then never answers, and would hide later changes from all of them for as long as a
/// call lasts. So the first calls of a few balancers end early, one after the other. A balancer that
/// finds its call unanswered reads again, and the others take a newer version from it.
///
/// ```
/// use usher_forwarding::WatchSchedule;
/// use usher_types::Span;
/// let period = Span::from_secs(10);
/// let mut schedule = WatchSchedule::default();
/// assert!(schedule.next_wait(period, 0) < period);
/// assert_eq!(schedule.next_wait(period, 0), period);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchSchedule {
    /// The calls have ended apart from each other since the last change.
    spread: bool,
}

impl WatchSchedule {
    /// The wait of calls in a fleet of `balancers`, up to `longest`.
    ///
    /// ```
    /// use usher_forwarding::WatchSchedule;
    /// use usher_types::Span;
    /// let longest = Span::from_secs(10);
    /// assert_eq!(WatchSchedule::period(longest, 7), longest);
    /// assert!(WatchSchedule::period(longest, 1) < longest);
    /// ```
    pub fn period(longest: Span, balancers: usize) -> Span {
        let balancers = u64::try_from(balancers.max(1)).unwrap_or(u64::MAX);
        longest.min(FLEET_INTERVAL * balancers)
    }

    /// Records that all balancers call again at about the same time: after a change, or a read.
    pub fn restart(&mut self) {
        self.spread = false;
    }

    /// The wait of the next call, at most `period`; `rank` is the number of balancers before this one.
    pub fn next_wait(&mut self, period: Span, rank: usize) -> Span {
        let first = !mem::replace(&mut self.spread, true);
        let step = u64::try_from(rank).unwrap_or(u64::MAX).saturating_add(1);
        if first && rank < EARLY_BALANCERS {
            period.min(EARLY_STEP * step)
        } else {
            period
        }
    }
}
