use usher_types::Span;

// Reports come every 100 ms, and digests of them too: two are missing.
const FAST: Span = Span::from_millis(300);
// Digests from other data centres come every 500 ms: two are missing.
const SLOW: Span = Span::from_millis(1_500);
// A report that is on its way.
const TRANSIT: Span = Span::from_millis(50);

/// How often reports of a host arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// From its agent, or by a balancer of the own data centre.
    Fast,
    /// By a balancer of another data centre.
    Slow,
}

impl Pace {
    /// After this time without a report its host is avoided.
    pub(crate) fn suspect(self) -> Span {
        match self {
            Self::Fast => FAST,
            Self::Slow => SLOW,
        }
    }

    /// For this long after a report its host is known to be there.
    pub(crate) fn fresh(self) -> Span {
        self.suspect() + TRANSIT
    }
}
