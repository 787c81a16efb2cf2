use std::fmt;

use serde::{Deserialize, Serialize};

/// Occurrences that the scheduler counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Counter {
    /// A duplicate joined a request that is held.
    Joined,
    /// A request was refused before dispatch.
    Refused,
    /// A run was repeated.
    Retried,
    /// A repetition was denied by the attempt budget or the retry budget.
    RetryDenied,
    /// A grant expired before a slot was free.
    ClaimLapsed,
    /// A request was offered to a peer.
    Offered,
    /// A peer took a request.
    Delegated,
    /// A peer did not reply to an offer.
    OfferLost,
    /// A peer did not report an outcome in time.
    OutcomeLost,
    /// A short request exceeded the short class's bound.
    Aged,
    /// An event referred to a request that is not in the required state.
    Stale,
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joined => "joined",
            Self::Refused => "refused",
            Self::Retried => "retried",
            Self::RetryDenied => "retry-denied",
            Self::ClaimLapsed => "claim-lapsed",
            Self::Offered => "offered",
            Self::Delegated => "delegated",
            Self::OfferLost => "offer-lost",
            Self::OutcomeLost => "outcome-lost",
            Self::Aged => "aged",
            Self::Stale => "stale",
        })
    }
}
