use crate::Rank;

/// Place of work in the order of service; a lower one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Rank of the work.
    pub rank: Rank,
    /// Start tag: the caller's share of the service before this work, in requests.
    pub(crate) start: u64,
    /// Number of the arrival.
    pub(crate) arrival: u64,
}
