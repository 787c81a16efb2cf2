use std::collections::BTreeMap;

use usher_types::{RequestId, Slots, Span, Time};

use crate::class::Class;

/// A request that occupies a slot.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) started: Time,
    pub(crate) cost: Span,
    pub(crate) class: Class,
    /// Whether the run counts towards the host's weight.
    pub(crate) metered: bool,
}

impl Run {
    /// Estimated remaining time.
    ///
    /// A run that exceeds its estimate is expected to last as long again as the excess.
    fn remaining(&self, now: Time) -> Span {
        let elapsed = now.since(self.started);
        (self.cost - elapsed) + (elapsed - self.cost)
    }
}

/// The slots of the backend server and the requests that occupy them.
#[derive(Debug)]
pub(crate) struct Runs {
    pub(crate) slots: Slots,
    runs: BTreeMap<RequestId, Run>,
}

impl Runs {
    pub(crate) fn new(slots: Slots) -> Self {
        Self {
            slots,
            runs: BTreeMap::new(),
        }
    }

    pub(crate) fn start(&mut self, id: RequestId, run: Run) {
        self.runs.insert(id, run);
    }

    pub(crate) fn end(&mut self, id: &RequestId) -> Option<Run> {
        self.runs.remove(id)
    }

    /// Moves a run to the long class.
    pub(crate) fn mark_long(&mut self, id: &RequestId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.class = Class::Long;
        }
    }

    pub(crate) fn has_free(&self) -> bool {
        self.runs.len() < usize::from(self.slots.get())
    }

    /// Number of slots that long requests occupy.
    pub(crate) fn long(&self) -> usize {
        self.runs
            .values()
            .filter(|r| r.class == Class::Long)
            .count()
    }

    /// Remaining times of all slots, ascending; zero for a free slot.
    pub(crate) fn remaining(&self, now: Time) -> Vec<Span> {
        let times = self.runs.values().map(|run| run.remaining(now));
        slot_times(times.collect(), usize::from(self.slots.get()))
    }

    /// Remaining times of the slots that long requests may occupy, ascending.
    pub(crate) fn remaining_long(&self, now: Time, limit: usize) -> Vec<Span> {
        let long = self.runs.values().filter(|r| r.class == Class::Long);
        slot_times(long.map(|run| run.remaining(now)).collect(), limit)
    }
}

/// Pads the remaining times of the runs to one per slot, ascending.
///
/// If there are more runs than slots, because the number of slots fell, the surplus runs end
/// before a slot becomes free, so the shortest ones are left out.
fn slot_times(mut times: Vec<Span>, slots: usize) -> Vec<Span> {
    let surplus = times.len().saturating_sub(slots);
    times.resize(times.len().max(slots), Span::ZERO);
    times.sort_unstable();
    times.split_off(surplus)
}
