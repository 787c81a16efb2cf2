use std::collections::BTreeMap;

use usher_types::{RequestId, Slots, Span, Time};

use crate::class::Class;

/// A request that occupies a slot.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) started: Time,
    pub(crate) cost: Span,
    pub(crate) class: Class,
    /// The run counts towards the host's weight.
    pub(crate) metered: bool,
}

impl Run {
    /// Estimated remaining time; past its estimate a run is expected to last as long again as
    /// it has exceeded it.
    fn remaining(&self, now: Time) -> Span {
        let elapsed = now.since(self.started);
        (self.cost - elapsed) + (elapsed - self.cost)
    }
}

/// The slots of the backend server.
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

    /// Counts a run as long from now on.
    pub(crate) fn age(&mut self, id: &RequestId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.class = Class::Long;
        }
    }

    pub(crate) fn has_free(&self) -> bool {
        self.runs.len() < usize::from(self.slots.get())
    }

    /// Number of slots that long work holds.
    pub(crate) fn long(&self) -> usize {
        self.runs
            .values()
            .filter(|r| r.class == Class::Long)
            .count()
    }

    /// Remaining times of all slots, ascending; zero for a free slot.
    pub(crate) fn remaining(&self, now: Time) -> Vec<Span> {
        let times = self.runs.values().map(|run| run.remaining(now));
        occupy(times.collect(), usize::from(self.slots.get()))
    }

    /// Remaining times of the slots that long work may hold.
    pub(crate) fn remaining_long(&self, now: Time, limit: usize) -> Vec<Span> {
        let long = self.runs.values().filter(|r| r.class == Class::Long);
        occupy(long.map(|run| run.remaining(now)).collect(), limit)
    }
}

/// Distributes runs over slots. Surplus runs, left over after the number of slots fell, end
/// before a slot becomes free, so the shortest ones are left out.
fn occupy(mut times: Vec<Span>, slots: usize) -> Vec<Span> {
    let surplus = times.len().saturating_sub(slots);
    times.resize(times.len().max(slots), Span::ZERO);
    times.sort_unstable();
    times.split_off(surplus)
}
