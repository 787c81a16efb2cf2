use usher_types::{Sequence, Slots, Span};

/// What a backend server says of itself in one heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostWord {
    /// Name of the backend server's process.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Start of the process in Unix milliseconds; a later process has a higher one.
    pub born: u64,
    /// Order of the words of one process.
    pub sequence: Sequence,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How long it remains slow after its start.
    pub warmup: Span,
}
