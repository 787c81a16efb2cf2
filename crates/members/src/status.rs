use usher_types::{Span, Version, Weight};

/// What a process announces about itself in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Highest configuration version in force.
    pub revision: Version,
    /// Estimated wait of a request that arrives now.
    pub wait: Span,
    /// Measured capacity of the backend server, relative to other hosts.
    pub weight: Weight,
}

impl Default for Status {
    fn default() -> Self {
        Self {
            revision: Version::default(),
            wait: Span::ZERO,
            weight: Weight::NOMINAL,
        }
    }
}
