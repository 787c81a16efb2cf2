use usher_types::Span;

/// Wait that is reported when the backend server has no slots.
const UNAVAILABLE: Span = Span::from_secs(3_600);

/// Estimates waits from the times at which the slots become free.
///
/// Uses a fluid model: queued work is spread over the slots as they become free, so one slow run
/// does not raise the estimate for the other slots.
#[derive(Debug)]
pub(crate) struct Forecast {
    /// Remaining running time of each slot, ascending.
    slots: Vec<Span>,
    /// Queued work of another class that is dispatched first.
    ahead: Span,
    /// Second limit, for long requests: remaining running time of the slots they may occupy.
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

    pub(crate) fn with_work_ahead(mut self, ahead: Span) -> Self {
        self.ahead = ahead;
        self
    }

    pub(crate) fn with_limit(mut self, slots: Vec<Span>) -> Self {
        self.limit = Some(slots);
        self
    }

    /// Estimated wait of a request that has `work` queued ahead of it.
    pub(crate) fn wait(&self, work: Span) -> Span {
        let wait = fill(&self.slots, self.ahead + work);
        match &self.limit {
            Some(slots) => wait.max(fill(slots, work)),
            None => wait,
        }
    }
}

/// Time until the slots have absorbed `work`, given when each becomes free.
fn fill(slots: &[Span], work: Span) -> Span {
    let mut busy_sum = Span::ZERO;
    for (index, free) in slots.iter().enumerate() {
        let count = index as u64 + 1;
        busy_sum = busy_sum + *free;
        let level = Span::from_micros((work + busy_sum).as_micros() / count);
        let next = slots.get(index + 1);
        if next.is_none_or(|next| level <= *next) {
            return level;
        }
    }
    UNAVAILABLE
}
