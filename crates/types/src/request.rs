use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Attempt, AttemptBudget, FlowId, MessageId, Payload, Priority, RequestKey, Span, Time};

/// Identity of a request: its flow and the message that carried it.
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
    /// Flow and message that carried the request.
    pub id: RequestId,
    /// The caller's idempotency key, the same in every attempt.
    pub key: RequestKey,
    /// Whether the request must not be repeated.
    pub once: bool,
    /// Method name; service times are estimated per method.
    pub method: String,
    /// When the caller stops waiting, on the agent's clock.
    pub deadline: Time,
    /// Number of this transmission; the first is 1.
    pub attempt: Attempt,
    /// Time between the sending of the caller's first attempt and of this one.
    pub age: Span,
    /// Attempts left across all layers that retry.
    pub budget: AttemptBudget,
    /// Precedence under overload.
    pub priority: Priority,
    /// Parameters, not read by the system.
    pub body: Payload,
}
