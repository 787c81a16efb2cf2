use usher_types::{Span, Time};

// Agents report to a new balancer, and other data centres relay their reports, within this time.
const COLLECT_TIME: Span = Span::from_millis(1_500);
// A balancer that cannot fetch the newer configuration of another one takes traffic after this time.
const FETCH_TIME: Span = Span::from_secs(3);

/// Whether a balancer that has started knows all hosts.
///
/// It fetches them from a balancer that does. Without such a balancer it waits for the agents'
/// reports. Until then the balancer takes no traffic, since it would not find the hosts of open flows.
///
/// ```
/// use usher_forwarding::StartUp;
/// use usher_types::{Span, Time};
/// let mut start_up = StartUp::new(Time::ZERO);
/// assert!(!start_up.is_complete(Time::ZERO));
/// start_up.finish();
/// assert!(start_up.is_complete(Time::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct StartUp {
    started: Time,
    finished: bool,
}

impl StartUp {
    /// The state of a balancer that starts at `now` and knows no host.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            finished: false,
        }
    }

    /// Records that a balancer which knows all hosts has handed them over.
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// Whether the balancer may take traffic at `now`.
    ///
    /// `outdated` tells that another balancer has a newer configuration: what a starting balancer reads
    /// from the store can be older, if the store has been restored from a copy.
    pub fn may_serve(&self, now: Time, outdated: bool) -> bool {
        self.is_complete(now) && (!outdated || now - self.started >= FETCH_TIME)
    }

    /// Whether all hosts are known at `now`, as far as the balancer can tell.
    pub fn is_complete(&self, now: Time) -> bool {
        self.finished || now - self.started >= COLLECT_TIME
    }
}
