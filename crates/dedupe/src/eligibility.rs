use usher_types::{Attempt, Claim, Span, Time};

use crate::history::Predecessors;
use crate::lease::Renewal;
use crate::limits::{RETENTION, RETRY_DELAY, age_uncertainty, upper_bound};

/// Whether a key without a conflicting record may be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// The key may be granted, for the given rest of the lease.
    Grantable(Span),
    /// The key cannot be granted yet; claim it again after the given time.
    Wait(Span),
    /// An earlier owner may have granted the key.
    Stale,
}

impl Eligibility {
    // A first attempt received shortly after a stop may be a delayed one from before the stop. It is
    // deferred, so that its holder can refuse it as not run.
    pub(crate) fn of(
        now: Time,
        predecessors: Predecessors,
        lease: Option<&Renewal>,
        claim: &Claim,
    ) -> Self {
        let since = match predecessors {
            Predecessors::Unsettled(until) => {
                return Self::Wait(
                    until
                        .map_or(RETRY_DELAY, |until| until - now)
                        .max(RETRY_DELAY),
                );
            }
            Predecessors::Stopped(since) => since,
        };
        let max_age = upper_bound(claim.age) + age_uncertainty();
        if max_age >= RETENTION {
            return Self::Stale;
        }
        if let Some(since) = since {
            let since_stop = now - since;
            if claim.attempt <= Attempt::new(1) && since_stop <= age_uncertainty() {
                return Self::Wait((age_uncertainty() - since_stop).max(RETRY_DELAY));
            }
            if max_age >= since_stop {
                return Self::Stale;
            }
        }
        match lease {
            Some(Renewal::Held(lease)) => Self::Grantable(lease.remaining(now)),
            _ => Self::Wait(RETRY_DELAY),
        }
    }
}
