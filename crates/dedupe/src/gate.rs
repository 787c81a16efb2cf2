use usher_types::{Attempt, Claim, Span, Time};

use crate::history::Standing;
use crate::lease::Renewal;
use crate::limits::{RETENTION, RETRY, lateness, longer};

/// Whether a key may be granted that nobody is known to run or to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gate {
    /// It may, for the rest of the lease.
    Open(Span),
    /// Not yet.
    Wait(Span),
    /// An earlier owner may have granted it.
    Stale,
}

impl Gate {
    // A first attempt shortly after a stop cannot be told from a late one of before. It is
    // deferred, so that its holder can refuse it as not run.
    pub(crate) fn of(
        now: Time,
        standing: Standing,
        lease: Option<&Renewal>,
        claim: &Claim,
    ) -> Self {
        let since = match standing {
            Standing::Unsettled(until) => {
                return Self::Wait(until.map_or(RETRY, |until| until - now).max(RETRY));
            }
            Standing::Since(since) => since,
        };
        let oldest = longer(claim.age) + lateness();
        if oldest >= RETENTION {
            return Self::Stale;
        }
        if let Some(since) = since {
            let known = now - since;
            if claim.attempt <= Attempt::new(1) && known <= lateness() {
                return Self::Wait((lateness() - known).max(RETRY));
            }
            if oldest >= known {
                return Self::Stale;
            }
        }
        match lease {
            Some(Renewal::Held(lease)) => Self::Open(lease.rest(now)),
            _ => Self::Wait(RETRY),
        }
    }
}
