use usher_types::Span;

// Half an interval after a report that is due: late for a live host, since reports come every 100 ms.
const FAST_LATE: Span = Span::from_millis(150);
// The same for digests from other data centres, which come every 500 ms.
const SLOW_LATE: Span = Span::from_millis(750);
// Two missed reports; reports and digests of them come every 100 ms.
const FAST_TIMEOUT: Span = Span::from_millis(300);
// Two missed digests; digests from other data centres come every 500 ms.
const SLOW_TIMEOUT: Span = Span::from_millis(1_500);
// Allowance for a report that is in transit.
const TRANSIT_TIME: Span = Span::from_millis(50);

/// How often a balancer gets reports about a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportRate {
    /// Sent by the agent, or relayed by a balancer of the same data centre.
    Fast,
    /// Relayed by a balancer of another data centre.
    Slow,
}

impl ReportRate {
    /// Time without a report after which the next one is late.
    pub(crate) fn late_after(self) -> Span {
        match self {
            Self::Fast => FAST_LATE,
            Self::Slow => SLOW_LATE,
        }
    }

    /// Time without a report after which the host is avoided for new flows.
    pub(crate) fn suspect_after(self) -> Span {
        match self {
            Self::Fast => FAST_TIMEOUT,
            Self::Slow => SLOW_TIMEOUT,
        }
    }

    /// Time after a report for which the host counts as present.
    pub(crate) fn fresh_for(self) -> Span {
        self.suspect_after() + TRANSIT_TIME
    }
}
