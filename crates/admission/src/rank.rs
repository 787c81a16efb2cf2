use usher_types::Time;

/// Position in a queue: by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) deadline: Time,
    pub(crate) sequence: u64,
}
