use usher_types::Span;

/// Longest time over which one process spreads its writes.
const SPREAD: Span = Span::from_millis(500);
/// Average number of processes that start within `SPREAD`.
const WRITERS: u64 = 8;
// Edits wait longer than this, so that no process edits what another one is about to write.
const MAX_DELAY: Span = Span::from_secs(2);

/// Upper bounds of the random pauses of a process that writes lost objects again.
///
/// All processes notice a restore of the store at the same time. Most objects are written by the
/// first ones, so the others need no call.
///
/// ```
/// use usher_config::RestorePace;
/// use usher_types::Span;
/// let pace = RestorePace::new(10, 5);
/// assert_eq!(pace.pause, Span::from_millis(100));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestorePace {
    /// Before the first object.
    pub delay: Span,
    /// Between two objects.
    pub pause: Span,
}

impl RestorePace {
    /// The pace of one of `processes` that know of `lost` objects.
    ///
    /// ```
    /// use usher_config::RestorePace;
    /// assert!(RestorePace::new(100, 1).delay > RestorePace::new(10, 1).delay);
    /// ```
    pub fn new(processes: usize, lost: usize) -> Self {
        let rounds = (processes as u64).div_ceil(WRITERS).max(1);
        Self {
            delay: (SPREAD * rounds).min(MAX_DELAY),
            pause: SPREAD.scale(1.0 / lost.max(1) as f64),
        }
    }
}
