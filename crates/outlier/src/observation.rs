use usher_types::Span;

use crate::OutcomeCounts;

/// What the last report says about one host of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation<Key> {
    /// The host.
    pub host: Key,
    /// Start of its backend server's process.
    pub born: u64,
    /// Whether it takes new flows and its reports arrive.
    pub present: bool,
    /// What became of its requests lately.
    pub outcomes: OutcomeCounts,
    /// Mean processing time; zero until a request was answered.
    pub work: Span,
}
