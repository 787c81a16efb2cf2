use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use usher_types::{RequestKey, Time};

/// JSON-RPC error code for a run that the backend server did not start.
pub const RUN_NOT_STARTED: i32 = -32_010;

/// Parameters of `run`, from an agent to its backend server.
///
/// Times are readings of the host's monotonic clock, which both processes share.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunRequest {
    /// Number of the run, which `cancel` refers to.
    pub run: u64,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// Method name.
    pub method: String,
    /// The run must not start after this time.
    pub start_by: Option<Time>,
    /// The caller stops waiting at this time.
    pub deadline: Time,
    /// The caller's parameters.
    pub body: Box<RawValue>,
}
