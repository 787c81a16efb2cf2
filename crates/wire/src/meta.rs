use serde::{Deserialize, Serialize};
use usher_types::{Attempt, AttemptBudget, Priority, RequestKey};

/// Metadata of a request, in `params.meta`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Meta {
    /// Idempotency key, the same in every attempt.
    pub key: RequestKey,
    /// The request must not run more than once.
    #[serde(default)]
    pub once: bool,
    /// Time left when the caller sent the request, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Number of this transmission; the first is 1.
    #[serde(default = "first_attempt")]
    pub attempt: Attempt,
    /// Time since the first transmission, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Attempts left across all layers.
    #[serde(default)]
    pub budget: Option<AttemptBudget>,
    /// Priority under overload; the profile's priority when absent.
    #[serde(default)]
    pub priority: Option<Priority>,
}

fn first_attempt() -> Attempt {
    Attempt::new(1)
}
