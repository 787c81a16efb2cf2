use crate::ExtraShare;

// Cost of one extra opening in the unit of `ExtraShare`.
const COST: u32 = 1_000_000;
// Extra openings that can be saved. A host that dies is chosen for some openings within the
// 150 ms until it is suspected; a store of more would only add work at once after a quiet time.
const MAX_SAVED: u32 = 8;

/// Limits extra openings to a share of all openings: a token bucket, empty at the start.
///
/// ```
/// use usher_hedge::Budget;
/// let mut budget = Budget::new("0.25".parse()?);
/// let granted = (0..40).filter(|_| {
///     budget.on_opening();
///     budget.try_take()
/// });
/// assert_eq!(granted.count(), 10);
/// # Ok::<(), usher_hedge::InvalidShare>(())
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    share: ExtraShare,
    saved: u32,
}

impl Budget {
    /// An empty budget that each opening fills by `share`.
    pub const fn new(share: ExtraShare) -> Self {
        Self { share, saved: 0 }
    }

    /// Whether extra openings are allowed at all.
    pub fn is_off(&self) -> bool {
        self.share == ExtraShare::OFF
    }

    /// Counts the opening of a flow.
    pub fn on_opening(&mut self) {
        self.saved = (self.saved + self.share.millionths()).min(MAX_SAVED * COST);
    }

    /// Takes one extra opening out of the budget, if one is left.
    pub fn try_take(&mut self) -> bool {
        let left = self.saved.checked_sub(COST);
        self.saved = left.unwrap_or(self.saved);
        left.is_some()
    }
}
