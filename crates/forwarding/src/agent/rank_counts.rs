use indexmap::IndexMap;
use usher_types::Rank;

/// Requests by rank since the agent started.
///
/// A forward header has seven bits for the rank, which bounds the number of ranks.
#[derive(Debug, Clone, Default)]
pub struct RankCounts {
    counts: IndexMap<Rank, RankCount>,
}

/// Requests of one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankCount {
    /// Requests that waited for a slot.
    pub waited: u64,
    /// Opening packets that were refused for lack of room.
    pub refused: u64,
}

impl RankCounts {
    /// The counts of each rank that has any.
    pub fn iter(&self) -> impl Iterator<Item = (Rank, RankCount)> {
        self.counts.iter().map(|(rank, count)| (*rank, *count))
    }

    pub(crate) fn add_waited(&mut self, rank: Rank) {
        self.counts.entry(rank).or_default().waited += 1;
    }

    pub(crate) fn add_refused(&mut self, rank: Rank) {
        self.counts.entry(rank).or_default().refused += 1;
    }
}
