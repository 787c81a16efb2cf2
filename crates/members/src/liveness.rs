use usher_types::{Beat, Incarnation, Peer, Span, Time};

/// Silence after which a member looks dead: three lost heartbeats.
pub(crate) const SILENCE: Span = Span::from_secs(3);
/// Processes that must agree before a member is suspected.
pub(crate) const REPORTERS: usize = 2;
/// Shortest time that a returning member must stay alive; doubled while it flaps.
const PROBATION_MIN: Span = Span::from_secs(1);
/// Longest time that a returning member must stay alive.
const PROBATION_MAX: Span = Span::from_secs(60);
/// A return within this time after the end of the previous probation counts as flapping.
const FLAP_WINDOW: Span = Span::from_secs(60);

/// Heartbeats, reports and suspicion of one member.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Whether the member sends its heartbeats to this process.
    direct: bool,
    last_alive: Time,
    latest_beat: (Incarnation, Time),
    reports: Vec<(Peer, Time)>,
    health: Health,
    probation: Span,
    probation_end: Option<Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Live,
    Suspected { since: Time },
    Returning { until: Time },
}

impl Liveness {
    /// A member that was just listed; its silence is counted from now.
    pub(crate) fn new(now: Time, direct: bool) -> Self {
        Self {
            direct,
            last_alive: now,
            latest_beat: Default::default(),
            reports: Vec::new(),
            health: Health::Live,
            probation: PROBATION_MIN,
            probation_end: None,
        }
    }

    pub(crate) fn set_direct(&mut self, now: Time, direct: bool) {
        if direct && !self.direct {
            self.last_alive = now;
        }
        self.direct = direct;
    }

    /// Records a heartbeat; false if a later one was already recorded.
    pub(crate) fn on_beat(&mut self, now: Time, beat: &Beat) -> bool {
        let order = (beat.incarnation, beat.sent);
        let fresh = order > self.latest_beat || self.latest_beat == Default::default();
        if fresh {
            self.latest_beat = order;
            self.last_alive = now;
        }
        fresh
    }

    /// Records that the member was alive at a time on this process's clock.
    pub(crate) fn alive_at(&mut self, time: Time) {
        self.last_alive = self.last_alive.max(time);
    }

    /// Records that another process reports the member as silent.
    pub(crate) fn on_report(&mut self, now: Time, from: &Peer) {
        match self.reports.iter_mut().find(|(peer, _)| peer == from) {
            Some((_, time)) => *time = now,
            None => self.reports.push((from.clone(), now)),
        }
    }

    /// Resets silence and reports after a new process of the member was listed.
    pub(crate) fn on_restart(&mut self, now: Time) {
        self.last_alive = now;
        self.reports.clear();
        if matches!(self.health, Health::Suspected { .. }) {
            self.health = self.returning(now);
        }
    }

    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.direct && now.since(self.last_alive) >= SILENCE
    }

    /// Whether the member looks dead to this process, alone or by the reports of others.
    pub(crate) fn looks_dead(&self, now: Time) -> bool {
        self.is_silent(now) || (!self.direct && self.fresh_reports(now) >= REPORTERS)
    }

    /// Whether new flows avoid the member.
    pub(crate) fn is_suspected(&self) -> bool {
        self.health != Health::Live
    }

    /// Time since which the member has been suspected without a sign of life.
    pub(crate) fn suspected_since(&self) -> Option<Time> {
        match self.health {
            Health::Suspected { since } => Some(since),
            Health::Live | Health::Returning { .. } => None,
        }
    }

    /// Re-evaluates the member; a distrusted view adds no suspicion.
    ///
    /// `reporters` processes, this one included, must agree before it is suspected.
    pub(crate) fn update(&mut self, now: Time, trusted: bool, reporters: usize) {
        self.reports.retain(|(_, time)| now.since(*time) < SILENCE);
        let dead = self.looks_dead(now);
        let agreed = usize::from(self.is_silent(now)) + self.reports.len() >= reporters;
        self.health = match self.health {
            Health::Live if dead && agreed && trusted => Health::Suspected { since: now },
            Health::Returning { .. } if dead => Health::Suspected { since: now },
            Health::Suspected { .. } if !dead => self.returning(now),
            Health::Returning { until } if now >= until => Health::Live,
            health => health,
        };
    }

    fn returning(&mut self, now: Time) -> Health {
        let flaps = self
            .probation_end
            .is_some_and(|probation_end| now.since(probation_end) < FLAP_WINDOW);
        self.probation = if flaps {
            (self.probation * 2).min(PROBATION_MAX)
        } else {
            PROBATION_MIN
        };
        let until = now + self.probation;
        self.probation_end = Some(until);
        Health::Returning { until }
    }

    fn fresh_reports(&self, now: Time) -> usize {
        let fresh = |(_, time): &&(Peer, Time)| now.since(*time) < SILENCE;
        self.reports.iter().filter(fresh).count()
    }
}
