use std::sync::Arc;

use usher_types::{
    Attempt, BeatAck, Claim, ClaimReply, Completion, CompletionAck, HostId, Outcome, RequestKey,
    Roster, Span, Time, Version,
};

use crate::Transfer;

/// A newly adopted roster with the earlier ones whose owners may still grant keys.
#[derive(Debug, Clone)]
pub struct RosterHistory {
    /// The adopted roster.
    pub roster: Arc<Roster>,
    /// The known earlier rosters, in any order.
    pub earlier: Vec<Arc<Roster>>,
    /// Whether `earlier` holds the roster that this one replaced, and every other one that some
    /// process still reports as unsettled.
    pub complete: bool,
}

/// Input of a `Ledger`.
#[derive(Debug, Clone)]
pub enum LedgerEvent {
    /// A roster was adopted; lower versions are ignored.
    Roster(RosterHistory),
    /// A holder asks for a grant.
    Claim(Claim),
    /// A holder reports an outcome.
    Completion(Completion),
    /// A member acknowledged a heartbeat of this agent.
    Ack(BeatAck),
    /// A member has adopted a roster version, seen in a `Beat` or `BeatAck`.
    Adopted {
        /// The member.
        host: HostId,
        /// Version that it has adopted.
        roster: Version,
    },
    /// An operator confirms that the members of rosters up to this version no longer run.
    Confirmed(Version),
    /// Another agent hands over records.
    Takeover(Transfer),
    /// An agent has taken over the records sent to it.
    TakeoverAcked {
        /// The agent that took them over.
        from: HostId,
        /// `roster` of the transfer.
        roster: Version,
    },
    /// This agent is about to leave; it owns its keys until a roster without it is adopted.
    Drain,
    /// The timer has expired.
    Tick,
}

/// Input of a `Claimant`.
#[derive(Debug, Clone)]
pub enum ClaimantEvent {
    /// A request needs a grant.
    Acquire {
        /// Key of the request.
        key: RequestKey,
        /// Transmission number of the request.
        attempt: Attempt,
        /// Time since the caller's first attempt, as of now, including all time spent queued.
        age: Span,
        /// When the request no longer needs a grant.
        deadline: Time,
    },
    /// The owner has answered a claim.
    ClaimReply(ClaimReply),
    /// A permitted request has ended; `NotRun` releases the key.
    Report {
        /// Key of the request.
        key: RequestKey,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The owner has recorded an outcome.
    CompletionAck(CompletionAck),
    /// A roster was adopted; lower versions are ignored.
    Roster(Arc<Roster>),
    /// The timer has expired.
    Tick,
}
