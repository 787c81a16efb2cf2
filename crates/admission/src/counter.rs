use std::fmt;

use serde::{Deserialize, Serialize};

/// Events counted by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Counter {
    /// A duplicate of a held request arrived.
    Joined,
    /// A request was refused before dispatch.
    Refused,
    /// A request was queued for another run.
    Retried,
    /// The attempt budget or the retry budget allowed no further run.
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
    /// A short request ran longer than the bound of the short class.
    Aged,
    /// An event named a request that is unknown or in another state.
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
