use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Attempt, HostId, Incarnation, Outcome, RequestKey, Span, Time, Version};

/// Asks for permission to dispatch a request that must not be repeated.
///
/// It goes to the owner of the request's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the request.
    pub key: RequestKey,
    /// Transmission number of the request.
    pub attempt: Attempt,
    /// Time between the caller's first attempt and the sending of this claim.
    pub age: Span,
    /// Host whose agent holds the request.
    pub holder: HostId,
    /// Incarnation of that agent; a restarted agent does not know its predecessor's claims.
    pub incarnation: Incarnation,
    /// Address that the reply goes to.
    pub reply: SocketAddrV4,
    /// Roster version under which the receiver is the owner.
    pub roster: Version,
    /// Time of sending on the holder's clock, echoed in the reply.
    pub sent: Time,
}

/// The owner's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Key of the claim.
    pub key: RequestKey,
    /// `sent` of the claim.
    pub sent: Time,
    /// What the holder may do.
    pub decision: Decision,
}

/// What a holder may do with a request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// May dispatch the request if it starts within this time of the claim's sending.
    Granted(Span),
    /// The request has run, with this outcome.
    Finished(Outcome),
    /// Another holder runs the request or may still run it.
    Running,
    /// An earlier owner may have granted a claim for the key.
    Unknown,
    /// The owner may not grant yet; claim again after this time.
    Wait(Span),
    /// The receiver does not own the key under its roster, whose version is given.
    NotOwner(Version),
}

/// Reports the outcome of a granted request to the owner of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Key of the request.
    pub key: RequestKey,
    /// Host that held the grant.
    pub holder: HostId,
    /// Incarnation of that host's agent.
    pub incarnation: Incarnation,
    /// `sent` of the claim that was granted. A late duplicate must not release a later grant.
    pub sent: Time,
    /// Address that the acknowledgement goes to.
    pub reply: SocketAddrV4,
    /// Outcome of the request; `NotRun` releases the grant.
    pub outcome: Outcome,
}

/// Acknowledges a `Completion`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionAck {
    /// Key of the request.
    pub key: RequestKey,
    /// `sent` of the `Completion`.
    pub sent: Time,
}
