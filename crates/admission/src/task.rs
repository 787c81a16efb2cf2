use std::net::SocketAddrV4;

use usher_types::{Request, RequestId, Span, Time};

use crate::class::Class;
use crate::rank::Rank;

/// Who receives the outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// The caller of a flow that this agent holds.
    Local(RequestId),
    /// The agent that offered the request.
    Peer(SocketAddrV4),
}

/// Whether a request that this agent has not dispatched may have run elsewhere.
///
/// If so, it must not be reported as "not run".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PossibleRun {
    /// It has not run.
    None,
    /// An earlier attempt may have run; a grant of its key rules that out.
    EarlierAttempt,
    /// Another copy may run or have run, even if the key is granted.
    Copy,
}

/// The part of a request's record that does not depend on its state.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) request: Request,
    pub(crate) recipients: Vec<Recipient>,
    pub(crate) arrived: Time,
    pub(crate) class: Class,
    /// Estimated service time.
    pub(crate) cost: Span,
    /// Latest time at which a dispatch can meet the deadline.
    pub(crate) latest_start: Time,
    /// Admission limit: a request that is expected to end later is not queued.
    pub(crate) finish_by: Time,
    pub(crate) rank: Rank,
    pub(crate) possible_run: PossibleRun,
    /// Whether the key owner has granted the key to this agent.
    pub(crate) granted: bool,
    /// Peers that the request was offered to.
    pub(crate) offers: Vec<SocketAddrV4>,
}

// Each offer costs up to a round trip; more than two would use up short deadlines.
const MAX_OFFERS: usize = 2;

impl Task {
    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Time) -> Span {
        self.request.deadline.since(now)
    }

    /// Time left until the admission limit.
    pub(crate) fn time_available(&self, now: Time) -> Span {
        self.finish_by.since(now)
    }

    /// Whether the request may be offered to a peer.
    ///
    /// A request taken from a peer is not offered on, so that offers cannot form a cycle.
    pub(crate) fn is_offerable(&self) -> bool {
        let local = self
            .recipients
            .iter()
            .all(|recipient| matches!(recipient, Recipient::Local(_)));
        local && self.possible_run < PossibleRun::Copy && self.offers.len() < MAX_OFFERS
    }

    /// Sets the latest start from the deadline and the estimated service time.
    ///
    /// If the estimate exceeds the time left, the latest start is the deadline: the request still
    /// runs if a slot is idle, so that a wrong estimate is corrected.
    pub(crate) fn set_latest_start(&mut self, now: Time, refusal: bool) {
        let latest_start = self.request.deadline - self.cost;
        self.latest_start = if refusal && latest_start > now {
            latest_start
        } else {
            self.request.deadline
        };
    }
}
