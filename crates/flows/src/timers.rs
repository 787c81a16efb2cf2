use std::collections::BTreeSet;

use indexmap::IndexMap;
use usher_types::{FlowId, Time};

/// At most one timer per flow, ordered by due time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: IndexMap<FlowId, Time>,
    order: BTreeSet<(Time, FlowId)>,
}

impl Timers {
    /// Sets or moves the timer of a flow.
    pub(crate) fn set(&mut self, flow: FlowId, due: Time) {
        self.clear(&flow);
        self.due.insert(flow, due);
        self.order.insert((due, flow));
    }

    /// Sets the timer of a flow, unless it is due earlier.
    pub(crate) fn advance(&mut self, flow: FlowId, due: Time) {
        if self.due.get(&flow).is_none_or(|known| due < *known) {
            self.set(flow, due);
        }
    }

    pub(crate) fn clear(&mut self, flow: &FlowId) {
        if let Some(due) = self.due.swap_remove(flow) {
            self.order.remove(&(due, *flow));
        }
    }

    pub(crate) fn contains(&self, flow: &FlowId) -> bool {
        self.due.contains_key(flow)
    }

    /// Removes and returns a flow whose timer is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<FlowId> {
        let (due, flow) = *self.order.first()?;
        if due > now {
            return None;
        }
        self.clear(&flow);
        Some(flow)
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.order.first().map(|(due, _)| *due)
    }
}
