use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Attempt, Budget, FlowId, MessageId, Payload, Priority, RequestKey, Span, Time};

/// Where a request came in: its flow and the message that carried it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Flow of the caller.
    pub flow: FlowId,
    /// Message within the flow; the answer carries the same number.
    pub message: MessageId,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.flow, self.message)
    }
}

/// A caller's request as an agent holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Where the request came in.
    pub id: RequestId,
    /// The caller's idempotency key, the same in every attempt.
    pub key: RequestKey,
    /// The request may not be repeated.
    pub once: bool,
    /// Method name; service times are estimated for each.
    pub method: String,
    /// When the caller stops waiting, on the agent's clock.
    pub deadline: Time,
    /// Number of this transmission; the first is 1.
    pub attempt: Attempt,
    /// Time since the caller's first attempt, when it sent this one.
    pub age: Span,
    /// Attempts left across all layers.
    pub budget: Budget,
    /// Precedence under overload.
    pub priority: Priority,
    /// Parameters, not read by the system.
    pub body: Payload,
}
