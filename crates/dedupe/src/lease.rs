use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{BeatAck, HostId, Peer, Roster, Span, Time, Version};

use crate::limits::LEASE;
use crate::ownership::{Agent, is_member, lease_quorum};

/// State of a lease without a current quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lapsed;

/// State of a lease with a quorum, with the time at which it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    until: Time,
}

/// An owner's right to grant keys under one roster version, renewed by acknowledged heartbeats.
///
/// ```
/// use std::sync::Arc;
/// use usher_dedupe::{Agent, Lease, Renewal};
/// use usher_types::{Incarnation, Roster, Time};
/// let agent = Agent { host: "a".parse()?, incarnation: Incarnation::new(1) };
/// let lease = Lease::new(agent, Arc::new(Roster::default()), Time::ZERO);
/// assert!(matches!(lease.renew(Time::ZERO), Renewal::Lapsed(_)));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Lease<S> {
    agent: Agent,
    roster: Arc<Roster>,
    adopted: Time,
    acked: IndexMap<HostId, Time>,
    state: S,
}

/// A lease in either state.
#[derive(Debug, Clone)]
pub enum Renewal {
    /// No quorum has acknowledged within the last lease length.
    Lapsed(Lease<Lapsed>),
    /// A quorum has acknowledged.
    Held(Lease<Held>),
}

impl<S> Lease<S> {
    /// Records an acknowledgement of a heartbeat of this agent.
    ///
    /// Counts it only when the peer has adopted the same roster version and the heartbeat was sent
    /// after this process adopted it.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use usher_dedupe::{Agent, Lease, Renewal};
    /// # use usher_types::{BeatAck, Peer, Roster, Time};
    /// # let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// # let lease = Lease::new(agent, Arc::new(Roster::default()), Time::ZERO);
    /// # let (roster, revision, sent) = Default::default();
    /// let ack = BeatAck { from: Peer::Host("b".parse()?), roster, revision, sent };
    /// let lease = lease.acknowledge(Time::ZERO, &ack);
    /// assert!(matches!(lease.renew(Time::ZERO), Renewal::Lapsed(_)));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    #[must_use]
    pub fn acknowledge(mut self, now: Time, ack: &BeatAck) -> Self {
        let Peer::Host(host) = &ack.from else {
            return self;
        };
        let counts = ack.roster == self.roster.version
            && self.roster.members.contains_key(host)
            && (self.adopted..=now).contains(&ack.sent);
        if counts {
            let latest = self.acked.entry(host.clone()).or_insert(ack.sent);
            *latest = ack.sent.max(*latest);
        }
        self
    }

    /// Recomputes the state from the acknowledgements received so far.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use usher_dedupe::{Agent, Lease, Renewal};
    /// # use usher_types::{Roster, Span, Time, Version};
    /// # let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let lease = Lease::new(agent, Arc::new(Roster::default()), Time::ZERO);
    /// assert!(matches!(lease.renew(Time::ZERO), Renewal::Lapsed(_)));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn renew(self, now: Time) -> Renewal {
        match self.expiry(now).filter(|until| *until > now) {
            Some(until) => Renewal::Held(self.with_state(Held { until })),
            None => Renewal::Lapsed(self.with_state(Lapsed)),
        }
    }

    /// Roster version that the lease is for.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use usher_dedupe::{Agent, Lease, Renewal};
    /// # use usher_types::{Roster, Span, Time, Version};
    /// # let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let lease = Lease::new(agent, Arc::new(Roster::default()), Time::ZERO);
    /// assert_eq!(lease.version(), Version::default());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn version(&self) -> Version {
        self.roster.version
    }

    // This process counts as having acknowledged `now`, because it stops when it adopts a newer roster.
    fn expiry(&self, now: Time) -> Option<Time> {
        if !is_member(&self.roster, &self.agent) {
            return None;
        }
        let peers = self.acked.iter().filter(|(h, _)| **h != self.agent.host);
        let mut votes: Vec<Time> = peers.map(|(_, sent)| *sent).collect();
        votes.push(now);
        votes.sort_unstable_by(|a, b| b.cmp(a));
        let decisive = votes.get(lease_quorum(self.roster.members.len()) - 1)?;
        Some(*decisive + LEASE)
    }

    fn with_state<T>(self, state: T) -> Lease<T> {
        Lease {
            agent: self.agent,
            roster: self.roster,
            adopted: self.adopted,
            acked: self.acked,
            state,
        }
    }
}

impl Lease<Lapsed> {
    /// Creates a lease that no member has acknowledged yet.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use usher_dedupe::{Agent, Lease, Renewal};
    /// # use usher_types::{Roster, Span, Time, Version};
    /// # let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let lease = Lease::new(agent, Arc::new(Roster::default()), Time::ZERO);
    /// assert_eq!(lease.version(), Version::default());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(agent: Agent, roster: Arc<Roster>, now: Time) -> Self {
        Self {
            agent,
            roster,
            adopted: now,
            acked: IndexMap::new(),
            state: Lapsed,
        }
    }
}

impl Lease<Held> {
    /// Time left; zero when the lease has ended.
    pub fn remaining(&self, now: Time) -> Span {
        self.state.until - now
    }
}

impl Renewal {
    pub(crate) fn acknowledge(self, now: Time, ack: &BeatAck) -> Self {
        match self {
            Self::Lapsed(lease) => lease.acknowledge(now, ack).renew(now),
            Self::Held(lease) => lease.acknowledge(now, ack).renew(now),
        }
    }

    pub(crate) fn renew(self, now: Time) -> Self {
        match self {
            Self::Lapsed(lease) => lease.renew(now),
            Self::Held(lease) => lease.renew(now),
        }
    }
}
