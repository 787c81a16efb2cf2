use usher_types::{HostId, Span, Version, Weight};

/// What an agent measures and holds at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Open flows.
    pub flows: usize,
    /// Wait that a short request arriving now is estimated to have.
    pub wait: Span,
    /// Measured strength of the backend server.
    pub weight: Weight,
    /// Dedupe records.
    pub records: usize,
    /// Earlier rosters that may have an active owner.
    pub unsettled: Vec<Version>,
    /// Hosts that have not taken over their records yet.
    pub awaiting: Vec<HostId>,
}
