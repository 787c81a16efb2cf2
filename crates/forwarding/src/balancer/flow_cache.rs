use std::mem;

use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::{FlowKey, NodeId};

// 32,768 flows in each of two generations take about 3 MB.
const GENERATION_FLOWS: usize = 32_768;
// A generation is dropped when it is older than two of these; an idle flow closes sooner.
const GENERATION_LIFE: Span = Span::from_secs(30);

/// What a balancer has learned of a flow's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Known {
    /// This host holds the flow.
    At(NodeId),
    /// The agents of this many rounds of the search do not hold it.
    Searched(u8),
}

/// Which hosts hold flows, as far as this balancer has learned. Bounded; only a cache.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowCache {
    young: IndexMap<FlowKey, Known>,
    old: IndexMap<FlowKey, Known>,
    turned: Time,
}

impl FlowCache {
    /// What is known of a flow; a flow in use stays in the cache.
    pub(crate) fn get(&mut self, flow: &FlowKey) -> Option<Known> {
        if let Some(known) = self.young.get(flow) {
            return Some(*known);
        }
        let known = self.old.swap_remove(flow)?;
        self.young.insert(*flow, known);
        Some(known)
    }

    pub(crate) fn insert(&mut self, now: Time, flow: FlowKey, known: Known) {
        let old = now - self.turned >= GENERATION_LIFE;
        if old || self.young.len() >= GENERATION_FLOWS {
            self.old = mem::take(&mut self.young);
            self.turned = now;
        }
        self.young.insert(flow, known);
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) {
        self.young.swap_remove(flow);
        self.old.swap_remove(flow);
    }
}
