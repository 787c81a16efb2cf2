use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Attempt, AttemptBudget, Outcome, Payload, Priority, RequestId, RequestKey, Span};

/// Offers a queued request to another agent of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Flow and message that carried the request.
    pub id: RequestId,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// Whether the request must not be repeated.
    pub once: bool,
    /// Method name.
    pub method: String,
    /// Time left until the caller's deadline.
    pub left: Span,
    /// Number of this transmission.
    pub attempt: Attempt,
    /// Time since the caller's first attempt.
    pub age: Span,
    /// Attempts left across all layers that retry.
    pub budget: AttemptBudget,
    /// Precedence under overload.
    pub priority: Priority,
    /// Parameters of the call.
    pub body: Payload,
    /// Queue wait at the sender. The receiver takes the request only if its own wait is shorter.
    pub wait: Span,
    /// Address that replies go to.
    pub reply: SocketAddrV4,
}

/// Answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferReply {
    /// The request offered.
    pub id: RequestId,
    /// Whether the receiver took over the request.
    pub taken: bool,
    /// Queue wait at the receiver.
    pub wait: Span,
}

/// Outcome of an offered request, sent back to the agent that offered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferOutcome {
    /// The request.
    pub id: RequestId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Address that the acknowledgement goes to.
    pub reply: SocketAddrV4,
}

/// Acknowledges an `OfferOutcome`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferOutcomeAck {
    /// The request.
    pub id: RequestId,
}
