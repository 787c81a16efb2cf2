use indexmap::IndexMap;
use usher_types::{Span, Time};

use super::entry::{Entry, Phase};
use crate::FlowKey;

// Late copies of a closed flow's last packets still belong to its backend server. A sender repeats
// a packet after 1.6 s at the latest.
const LINGER: Span = Span::from_secs(4);
// An opening packet that the caller never followed up: callers give up after 1.4 s.
const OPENING: Span = Span::from_secs(2);

/// The flows of one backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowTable {
    entries: IndexMap<FlowKey, Entry>,
}

impl FlowTable {
    pub(crate) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Entry> {
        self.entries.get_mut(flow)
    }

    pub(crate) fn insert(&mut self, flow: FlowKey, entry: Entry) {
        self.entries.insert(flow, entry);
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) -> Option<Entry> {
        self.entries.swap_remove(flow)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Flows that still have work to do at the backend server.
    pub(crate) fn open(&self) -> usize {
        let open = |entry: &&Entry| entry.phase != Phase::Closed;
        self.entries.values().filter(open).count()
    }

    /// Requests in work or waiting at the backend server.
    pub(crate) fn working(&self) -> usize {
        let working = |entry: &&Entry| entry.working.is_some();
        self.entries.values().filter(working).count()
    }

    /// Forgets flows that are over; `idle` is the longest silence of an open flow.
    pub(crate) fn expire(&mut self, now: Time, idle: Span) {
        self.entries.retain(|_, entry| {
            let silent = now - entry.seen;
            if matches!(entry.phase, Phase::Opening | Phase::Answered) && silent > OPENING {
                entry.working = None;
            }
            match entry.phase {
                Phase::Closed => silent < LINGER,
                _ => silent < idle,
            }
        });
    }

    /// Removes all flows; returns those that were open, with the position that callers received.
    pub(crate) fn clear(&mut self) -> Vec<(FlowKey, u32)> {
        let entries = self.entries.drain(..);
        let open = entries.filter(|(_, entry)| entry.phase != Phase::Closed);
        open.map(|(flow, entry)| (flow, entry.received)).collect()
    }
}
