use usher_types::Span;

/// Reported as the wait when the backend server has no slot at all.
const UNAVAILABLE: Span = Span::from_secs(3_600);

/// When slots are expected to become free, for estimates of waits.
///
/// Queued work is treated as a fluid that fills the slots as they become free, so one slow run
/// does not make the other slots appear slow.
#[derive(Debug)]
pub(crate) struct Forecast {
    /// Remaining running time of each slot, ascending.
    slots: Vec<Span>,
    /// Queued work that goes first in any case.
    ahead: Span,
    /// Further limit for long work: remaining running time of the slots that it may hold.
    limit: Option<Vec<Span>>,
}

impl Forecast {
    pub(crate) fn new(slots: Vec<Span>) -> Self {
        Self {
            slots,
            ahead: Span::ZERO,
            limit: None,
        }
    }

    pub(crate) fn behind(mut self, ahead: Span) -> Self {
        self.ahead = ahead;
        self
    }

    pub(crate) fn limited(mut self, slots: Vec<Span>) -> Self {
        self.limit = Some(slots);
        self
    }

    /// Estimated wait of a request that has `work` in front of it.
    pub(crate) fn wait(&self, work: Span) -> Span {
        let wait = fill(&self.slots, self.ahead + work);
        match &self.limit {
            Some(slots) => wait.max(fill(slots, work)),
            None => wait,
        }
    }
}

/// Level to which `work` fills the slots, given the time at which each becomes free.
fn fill(slots: &[Span], work: Span) -> Span {
    let mut covered = Span::ZERO;
    for (index, free) in slots.iter().enumerate() {
        let count = index as u64 + 1;
        covered = covered + *free;
        let level = Span::from_micros((work + covered).as_micros() / count);
        let next = slots.get(index + 1);
        if next.is_none_or(|next| level <= *next) {
            return level;
        }
    }
    UNAVAILABLE
}
