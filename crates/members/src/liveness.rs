use usher_types::{Beat, Incarnation, Peer, Span, Time};

/// Silence after which a member looks dead: three lost heartbeats.
pub(crate) const SILENCE: Span = Span::from_secs(3);
/// Processes that must agree before a member is suspected.
pub(crate) const REPORTERS: usize = 2;
/// Shortest and longest time that a returning member must stay alive.
const HOLD_MIN: Span = Span::from_secs(1);
const HOLD_MAX: Span = Span::from_secs(60);
/// A return within this time after the previous one was complete counts as flapping.
const FLAP_WINDOW: Span = Span::from_secs(60);

/// What this process knows about the life of one member.
#[derive(Debug)]
pub(crate) struct Liveness {
    observed: bool,
    heard: Time,
    latest: (Incarnation, Time),
    reports: Vec<(Peer, Time)>,
    standing: Standing,
    hold: Span,
    returned: Option<Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Live,
    Suspected { since: Time },
    Returning { until: Time },
}

impl Liveness {
    /// A member that was just listed; it counts as heard now.
    pub(crate) fn new(now: Time, observed: bool) -> Self {
        Self {
            observed,
            heard: now,
            latest: Default::default(),
            reports: Vec::new(),
            standing: Standing::Live,
            hold: HOLD_MIN,
            returned: None,
        }
    }

    pub(crate) fn observe(&mut self, now: Time, observed: bool) {
        if observed && !self.observed {
            self.heard = now;
        }
        self.observed = observed;
    }

    /// Counts a heartbeat; false if a later one was counted before.
    pub(crate) fn on_beat(&mut self, now: Time, beat: &Beat) -> bool {
        let order = (beat.incarnation, beat.sent);
        let fresh = order > self.latest || self.latest == Default::default();
        if fresh {
            self.latest = order;
            self.heard = now;
        }
        fresh
    }

    /// The member was alive at a time on this process's clock.
    pub(crate) fn alive_at(&mut self, time: Time) {
        self.heard = self.heard.max(time);
    }

    /// Another process no longer hears the member.
    pub(crate) fn on_report(&mut self, now: Time, from: &Peer) {
        match self.reports.iter_mut().find(|(peer, _)| peer == from) {
            Some((_, time)) => *time = now,
            None => self.reports.push((from.clone(), now)),
        }
    }

    /// A new process of the member's host was listed.
    pub(crate) fn renew(&mut self, now: Time) {
        self.heard = now;
        self.reports.clear();
        if matches!(self.standing, Standing::Suspected { .. }) {
            self.standing = self.returning(now);
        }
    }

    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.observed && now.since(self.heard) >= SILENCE
    }

    /// Whether the member looks dead to this process, alone or by the reports of others.
    pub(crate) fn looks_dead(&self, now: Time) -> bool {
        self.is_silent(now) || (!self.observed && self.fresh_reports(now) >= REPORTERS)
    }

    /// Whether new flows avoid the member.
    pub(crate) fn is_suspected(&self) -> bool {
        self.standing != Standing::Live
    }

    /// Time since which the member has been suspected without a sign of life.
    pub(crate) fn suspected_since(&self) -> Option<Time> {
        match self.standing {
            Standing::Suspected { since } => Some(since),
            Standing::Live | Standing::Returning { .. } => None,
        }
    }

    /// Re-evaluates the member; a distrusted view adds no suspicion.
    ///
    /// `reporters` processes, this one included, must agree before it is suspected.
    pub(crate) fn update(&mut self, now: Time, trusted: bool, reporters: usize) {
        self.reports.retain(|(_, time)| now.since(*time) < SILENCE);
        let dead = self.looks_dead(now);
        let agreed = usize::from(self.is_silent(now)) + self.reports.len() >= reporters;
        self.standing = match self.standing {
            Standing::Live if dead && agreed && trusted => Standing::Suspected { since: now },
            Standing::Returning { .. } if dead => Standing::Suspected { since: now },
            Standing::Suspected { .. } if !dead => self.returning(now),
            Standing::Returning { until } if now >= until => Standing::Live,
            standing => standing,
        };
    }

    fn returning(&mut self, now: Time) -> Standing {
        let flaps = self
            .returned
            .is_some_and(|returned| now.since(returned) < FLAP_WINDOW);
        self.hold = if flaps {
            (self.hold * 2).min(HOLD_MAX)
        } else {
            HOLD_MIN
        };
        let until = now + self.hold;
        self.returned = Some(until);
        Standing::Returning { until }
    }

    fn fresh_reports(&self, now: Time) -> usize {
        let fresh = |(_, time): &&(Peer, Time)| now.since(*time) < SILENCE;
        self.reports.iter().filter(fresh).count()
    }
}
