use usher_types::{HostId, Span, Version, Weight};

/// Measurements and contents of an agent at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Open flows.
    pub flows: usize,
    /// Estimated wait of a short request that arrives now.
    pub wait: Span,
    /// Weight of the backend server, from its measured capacity.
    pub weight: Weight,
    /// Dedupe records.
    pub records: usize,
    /// Earlier rosters that may still have an active key owner.
    pub unsettled: Vec<Version>,
    /// Hosts that have not yet taken over the records handed to them.
    pub unacknowledged: Vec<HostId>,
}
