use std::mem;

use indexmap::IndexMap;
use usher_types::{Span, Time};

use super::flow_pair::FlowPair;
use super::flow_search::FlowSearch;
use crate::{FlowKey, NodeId};

// 32,768 flows in each of two generations take about 3 MB, without the searches in progress.
const GENERATION_FLOWS: usize = 32_768;
// A flow that is not used for two of these periods is dropped; an idle flow closes sooner.
const GENERATION_PERIOD: Span = Span::from_secs(30);

/// What a balancer knows about the host of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FlowLocation {
    /// This host holds the flow.
    At(NodeId),
    /// One of two hosts holds the flow.
    Either(Box<FlowPair>),
    /// The host is not known yet.
    Searching(Box<FlowSearch>),
}

/// Bounded cache of the hosts that hold flows.
///
/// Entries that are not used move from the young generation to the old one, which is dropped.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowCache {
    young: IndexMap<FlowKey, FlowLocation>,
    old: IndexMap<FlowKey, FlowLocation>,
    rotated_at: Time,
}

impl FlowCache {
    /// Looks up a flow and moves its entry to the young generation.
    pub(crate) fn get(&mut self, flow: &FlowKey) -> Option<&mut FlowLocation> {
        if let Some(known) = self.old.swap_remove(flow) {
            self.young.entry(*flow).or_insert(known);
        }
        self.young.get_mut(flow)
    }

    pub(crate) fn insert(&mut self, now: Time, flow: FlowKey, known: FlowLocation) {
        let old = now - self.rotated_at >= GENERATION_PERIOD;
        if old || self.young.len() >= GENERATION_FLOWS {
            self.old = mem::take(&mut self.young);
            self.rotated_at = now;
        }
        self.young.insert(flow, known);
    }
}
