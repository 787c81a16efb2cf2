use usher_types::Share;

/// Retries allowed before any request has succeeded.
const FLOOR: f64 = 3.0;
/// Upper bound, so that a long healthy period does not pay for a burst of retries.
const CEILING: f64 = 100.0;

/// Limits retries to a share of successes.
///
/// ```
/// use usher_routing::RetryBudget;
/// use usher_types::Share;
/// let mut budget = RetryBudget::new(Share::new(0.1)?);
/// assert!(budget.try_retry());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: Share,
    tokens: f64,
}

impl RetryBudget {
    /// A budget that earns `share` of a retry with each success; it starts with 3 retries.
    ///
    /// ```
    /// let budget = usher_routing::RetryBudget::new(usher_types::Share::default());
    /// assert_eq!(budget.left(), 3);
    /// ```
    pub fn new(share: Share) -> Self {
        Self {
            share,
            tokens: FLOOR,
        }
    }

    /// Counts a success.
    ///
    /// ```
    /// let mut budget = usher_routing::RetryBudget::new(usher_types::Share::new(1.0)?);
    /// budget.on_success();
    /// assert_eq!(budget.left(), 4);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.share.get()).min(CEILING);
    }

    /// Takes one retry out of the budget, if one is left.
    ///
    /// ```
    /// let mut budget = usher_routing::RetryBudget::new(usher_types::Share::default());
    /// assert_eq!((0..5).filter(|_| budget.try_retry()).count(), 3);
    /// ```
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
