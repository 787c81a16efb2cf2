use std::mem;

use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::{FlowKey, NodeId};

// 32,768 flows in each of two generations take about 3 MB.
const GENERATION_FLOWS: usize = 32_768;
// A generation is dropped when it is older than two of these; an idle flow closes sooner.
const GENERATION_LIFE: Span = Span::from_secs(30);

/// Which host holds a flow, as far as this balancer has learned. Bounded; only a cache.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowCache {
    young: IndexMap<FlowKey, NodeId>,
    old: IndexMap<FlowKey, NodeId>,
    turned: Time,
}

impl FlowCache {
    /// The host of a flow; a flow in use stays in the cache.
    pub(crate) fn get(&mut self, flow: &FlowKey) -> Option<NodeId> {
        if let Some(node) = self.young.get(flow) {
            return Some(*node);
        }
        let node = self.old.swap_remove(flow)?;
        self.young.insert(*flow, node);
        Some(node)
    }

    pub(crate) fn insert(&mut self, now: Time, flow: FlowKey, node: NodeId) {
        let old = now - self.turned >= GENERATION_LIFE;
        if old || self.young.len() >= GENERATION_FLOWS {
            self.old = mem::take(&mut self.young);
            self.turned = now;
        }
        self.young.insert(flow, node);
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) {
        self.young.swap_remove(flow);
        self.old.swap_remove(flow);
    }
}
