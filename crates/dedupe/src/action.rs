use std::net::SocketAddrV4;

use usher_types::{
    Claim, ClaimReply, Completion, CompletionAck, HostId, Outcome, RequestKey, Time, Version,
};

use crate::Transfer;

/// Output of a `Ledger`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Send the reply to a claim.
    ClaimReply {
        /// Address of the holder's agent.
        to: SocketAddrV4,
        /// The message.
        claim_reply: ClaimReply,
    },
    /// Acknowledge an outcome.
    CompletionAck {
        /// Address of the holder's agent.
        to: SocketAddrV4,
        /// The message.
        completion_ack: CompletionAck,
    },
    /// Hand records over; repeated until `TakeoverAcked`.
    Handover {
        /// Host that receives them.
        to: HostId,
        /// The records.
        transfer: Transfer,
    },
    /// Acknowledge a transfer to its sender as `TakeoverAcked`.
    Acknowledge {
        /// Host that sent it.
        to: HostId,
        /// `roster` of the transfer.
        roster: Version,
    },
    /// The agent has left the roster and every record has been taken over.
    Drained,
    /// Increment a counter.
    Count(Counter),
}

/// Counters of a `Ledger`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Counter {
    /// A key was granted.
    Granted,
    /// A claim arrived for a key that has a record.
    Duplicate,
    /// A claim was deferred, for lack of a lease or of settled predecessors.
    Deferred,
    /// A claim was refused because an earlier owner may have granted its key.
    Stale,
    /// A claim arrived for a key of another owner.
    Misdirected,
    /// A holder did not report within the run limit.
    Abandoned,
}

/// Output of a `Claimant`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimantAction {
    /// Send a claim to the key's owner, which may be this agent.
    Claim {
        /// Address of the owner's agent.
        to: SocketAddrV4,
        /// The message.
        claim: Claim,
    },
    /// Report an outcome to the key's owner.
    Completion {
        /// Address of the owner's agent.
        to: SocketAddrV4,
        /// The message.
        completion: Completion,
    },
    /// The request may be dispatched; the backend server must not start it after `start_by`.
    Permit {
        /// Key of the request.
        key: RequestKey,
        /// Local time of the last permitted start.
        start_by: Time,
    },
    /// The request has run, here or on another host, or may have run.
    Settled {
        /// Key of the request.
        key: RequestKey,
        /// Outcome to report to the caller.
        outcome: Outcome,
    },
    /// The key is claimed already; `Settled` follows by the deadline.
    Running {
        /// Key of the request.
        key: RequestKey,
    },
    /// No grant came in time; this process has not dispatched the key.
    ///
    /// It will not dispatch it for this request either.
    Denied {
        /// Key of the request.
        key: RequestKey,
    },
}
