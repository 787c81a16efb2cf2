use usher_types::{Span, Time};

// Agents report to a new balancer, and other data centres relay their reports, within this time.
const COLLECT_TIME: Span = Span::from_millis(1_500);
// A balancer that cannot fetch the newer configuration of another one takes traffic after this time.
const FETCH_TIME: Span = Span::from_secs(3);
// Messages that arrived during a pause are handled by this time after it.
const QUEUE_TIME: Span = Span::from_millis(500);

/// Whether a balancer that has started, or was paused, knows all hosts and the configuration in force.
///
/// It fetches the hosts from a balancer that does. Without such a balancer it waits for the agents'
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
    /// The process was paused, and nothing has shown since whether its configuration is outdated.
    unconfirmed: bool,
}

impl StartUp {
    /// The state of a balancer that starts at `now` and knows no host.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            finished: false,
            unconfirmed: false,
        }
    }

    /// Records that a balancer which knows all hosts has handed them over.
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// Records that the process was paused until `now`, while the configuration may have changed.
    ///
    /// ```
    /// # use usher_forwarding::StartUp;
    /// # use usher_types::{Span, Time};
    /// # let mut start_up = StartUp::new(Time::ZERO);
    /// let now = Time::ZERO + Span::from_secs(60);
    /// start_up.pause(now);
    /// assert!(!start_up.may_serve(now, false));
    /// start_up.confirm();
    /// assert!(start_up.may_serve(now, false));
    /// ```
    pub fn pause(&mut self, now: Time) {
        self.finished = self.is_complete(now);
        self.started = now;
        self.unconfirmed = true;
    }

    /// Whether nothing has shown since a pause that the configuration is the newest.
    ///
    /// ```
    /// # use usher_forwarding::StartUp;
    /// # use usher_types::Time;
    /// assert!(!StartUp::new(Time::ZERO).is_unconfirmed());
    /// ```
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Records that the store has told the configuration since the pause.
    pub fn confirm(&mut self) {
        self.unconfirmed = false;
    }

    /// Records that another balancer has told its version.
    ///
    /// Right after a pause this can be a message that was queued meanwhile, which shows nothing.
    ///
    /// ```
    /// # use usher_forwarding::StartUp;
    /// # use usher_types::{Span, Time};
    /// # let mut start_up = StartUp::new(Time::ZERO);
    /// let now = Time::ZERO + Span::from_secs(60);
    /// start_up.pause(now);
    /// start_up.on_hello(now);
    /// assert!(!start_up.may_serve(now, false));
    /// ```
    pub fn on_hello(&mut self, now: Time) {
        if now - self.started >= QUEUE_TIME {
            self.unconfirmed = false;
        }
    }

    /// Whether the balancer may take traffic at `now`.
    ///
    /// `outdated` tells that another balancer has a newer configuration, or that the evacuations are not
    /// known yet: what a starting balancer reads from the store can be older, if the store has been
    /// restored from a copy.
    pub fn may_serve(&self, now: Time, outdated: bool) -> bool {
        let uncertain = outdated || self.unconfirmed;
        self.is_complete(now) && (!uncertain || now - self.started >= FETCH_TIME)
    }

    /// Whether all hosts are known at `now`, as far as the balancer can tell.
    pub fn is_complete(&self, now: Time) -> bool {
        self.finished || now - self.started >= COLLECT_TIME
    }
}
