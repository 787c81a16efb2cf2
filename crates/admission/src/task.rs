use std::net::SocketAddrV4;

use usher_types::{Request, RequestId, Span, Time};

use crate::class::Class;
use crate::rank::Rank;

/// Who receives the outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The caller of a flow that this agent holds.
    Local(RequestId),
    /// The agent that offered the request.
    Peer(SocketAddrV4),
}

/// Why "not run" might be false although this agent holds the request undispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Doubt {
    /// Nothing speaks against it.
    None,
    /// An earlier attempt may have run; a grant of the key disproves it.
    Retry,
    /// Another copy may run or may have run, whatever the key owner says.
    Copy,
}

/// The part of a request's record that does not depend on its state.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) request: Request,
    pub(crate) callers: Vec<Caller>,
    pub(crate) arrived: Time,
    pub(crate) class: Class,
    /// Estimated service time.
    pub(crate) cost: Span,
    /// Latest time at which a dispatch can meet the deadline.
    pub(crate) latest: Time,
    /// Time by which the request must be expected to end to be queued.
    pub(crate) goal: Time,
    pub(crate) rank: Rank,
    pub(crate) doubt: Doubt,
    /// The key owner has granted the key to this agent.
    pub(crate) granted: bool,
    /// Peers that the request was offered to.
    pub(crate) offers: Vec<SocketAddrV4>,
}

// Two offers cost at most two round trips; more would use up short deadlines.
const MAX_OFFERS: usize = 2;

impl Task {
    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Time) -> Span {
        self.request.deadline.since(now)
    }

    /// Time left until the goal.
    pub(crate) fn room(&self, now: Time) -> Span {
        self.goal.since(now)
    }

    /// A request taken from a peer stays here, so that offers cannot form a cycle.
    pub(crate) fn is_offerable(&self) -> bool {
        let local = self.callers.iter().all(|c| matches!(c, Caller::Local(_)));
        local && self.doubt < Doubt::Copy && self.offers.len() < MAX_OFFERS
    }

    /// Sets the latest dispatch from the deadline and the estimated service time.
    ///
    /// When the estimate exceeds the time left, the deadline itself counts: a request that finds
    /// an idle slot runs, so that a wrong estimate is corrected.
    pub(crate) fn limit_start(&mut self, now: Time, refusal: bool) {
        let latest = self.request.deadline - self.cost;
        self.latest = if refusal && latest > now {
            latest
        } else {
            self.request.deadline
        };
    }
}
