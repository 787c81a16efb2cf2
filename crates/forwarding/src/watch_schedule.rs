use usher_types::Span;

// The first balancer calls again this long after a change.
const FIRST_END: Span = Span::from_secs(1);

// Longest time in which no balancer calls the store. As many balancers take turns as this needs; each
// of them costs the store a call after a change.
const FLEET_INTERVAL: Span = Span::from_secs(3);

// A call that begins later than this after a change was not caused by the change.
const CHANGE_TIME: Span = Span::from_millis(500);

/// When the calls of one balancer for changes of one kind end.
///
/// A change ends the calls of all balancers, which then call again at the same moment. A store that
/// falls silent just then never answers, and one that is silent at a change does not tell those who
/// wait. Either would hide changes from all balancers for as long as a call lasts. So the calls end one
/// after the other, at times that each balancer counts from the last change. A balancer that finds its
/// call unanswered reads again, and the others take a newer version from it.
///
/// ```
/// use usher_forwarding::WatchSchedule;
/// use usher_types::Span;
/// let schedule = WatchSchedule::new(Span::from_secs(10), 0, 7);
/// assert_eq!(schedule.wait(Span::ZERO), Span::from_secs(1));
/// assert_eq!(schedule.wait(Span::from_secs(1)), Span::from_secs(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchSchedule {
    period: Span,
    /// End of the first call, from the change on.
    first_end: Span,
}

impl WatchSchedule {
    /// The schedule of a balancer that follows `rank` of `balancers`, whose calls last for `period`.
    pub fn new(period: Span, rank: usize, balancers: usize) -> Self {
        let turns = period.as_micros().div_ceil(FLEET_INTERVAL.as_micros());
        let turns = turns.clamp(1, balancers.max(1) as u64);
        let step = Span::from_micros(period.as_micros() / turns);
        let first_end = FIRST_END + step * turns.min(rank as u64);
        Self {
            period,
            first_end: first_end.min(period),
        }
    }

    /// The period of calls in a fleet of `balancers`, up to `longest`.
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

    /// How long a call waits that begins `since` after the last change.
    ///
    /// A call out of turn, for example after a failed one, tells by its beginning what a call that ends
    /// soon would. It therefore lasts for a quarter of a period at least, and for less than one and a quarter.
    pub fn wait(&self, since: Span) -> Span {
        if since < CHANGE_TIME {
            return self.first_end - since;
        }
        let least = Span::from_micros(self.period.as_micros() / 4);
        let missed = (since + least - self.first_end).as_micros();
        let periods = missed.div_ceil(self.period.as_micros().max(1));
        self.first_end + self.period * periods - since
    }
}
