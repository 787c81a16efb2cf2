use crate::Share;

// Retries allowed before the first success, and the most that successes can accumulate.
const MAX_TOKENS: f64 = 10.0;

/// Limits retries to a share of successes.
///
/// ```
/// use usher_types::{RetryBudget, Share};
/// let mut budget = RetryBudget::default();
/// assert_eq!((0..20).filter(|_| budget.try_retry()).count(), 10);
/// budget.on_success(Share::new(1.0)?);
/// assert!(budget.try_retry());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries left; successes add fractions.
    tokens: f64,
}

impl RetryBudget {
    /// Counts a success, which earns `share` of a retry.
    pub fn on_success(&mut self, share: Share) {
        self.tokens = (self.tokens + share.get()).min(MAX_TOKENS);
    }

    /// Takes one retry out of the budget, if one is left.
    pub fn try_retry(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Whole retries left.
    pub fn left(&self) -> u32 {
        self.tokens as u32
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}
