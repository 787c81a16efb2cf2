use usher_types::{ByteCount, Span};

/// Limits of time and size for calls to the store.
///
/// ```
/// use usher_store::Limits;
/// use usher_types::Span;
/// assert_eq!(Limits::default().attempt, Span::from_secs(1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time for one request, not counting the wait of a watch.
    pub attempt: Span,
    /// Time for a call with all its attempts, not counting the wait of a watch.
    pub total: Span,
    /// Longest pause after the first failed attempt; it doubles with each further failure.
    pub first_pause: Span,
    /// Longest pause between two attempts.
    pub max_pause: Span,
    /// Largest size of an encoded value.
    pub value: ByteCount,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            attempt: Span::from_secs(1),
            total: Span::from_secs(10),
            first_pause: Span::from_millis(50),
            max_pause: Span::from_secs(2),
            value: ByteCount::new(1 << 20),
        }
    }
}
