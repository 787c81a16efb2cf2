use usher_types::{Sequence, Slots, Span};

use crate::HostIdentity;

/// Content of one heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostHeartbeat {
    /// Name of the backend server's process.
    pub id: String,
    /// The host that it says it runs on.
    pub host: HostIdentity,
    /// Start of the process in Unix milliseconds; a later process has a higher one.
    pub born: u64,
    /// How long the process has run, by the clock of its machine; `None` if that is not known.
    pub age: Option<Span>,
    /// Order of the heartbeats of one process.
    pub sequence: Sequence,
    /// Requests that it processes at the same time.
    pub slots: Slots,
    /// Whether it takes no new flows and is about to leave.
    pub draining: bool,
    /// How long it will remain slow, until it has warmed up.
    pub warmup: Span,
}
