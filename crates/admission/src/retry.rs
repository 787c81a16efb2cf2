use usher_types::Share;

// Retries that a host may spend before its first successes, and the most it can save up.
const BURST: f64 = 10.0;

/// Limits retries to a share of successes.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { tokens: BURST }
    }

    pub(crate) fn succeed(&mut self, share: Share) {
        self.tokens = (self.tokens + share.get()).min(BURST);
    }

    /// Spends one retry if the budget allows it.
    pub(crate) fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
