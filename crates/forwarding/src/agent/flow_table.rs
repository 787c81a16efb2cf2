use indexmap::IndexMap;
use usher_types::{Span, Time};

use super::entry::{Entry, Phase};
use crate::FlowKey;

// Late copies of a closed flow's last packets still belong to its backend server. A sender repeats
// a packet after 1.6 s at the latest.
const LINGER: Span = Span::from_secs(4);

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
    pub(crate) fn working(&self, now: Time) -> usize {
        let working = |entry: &&Entry| entry.is_working(now);
        self.entries.values().filter(working).count()
    }

    /// Forgets flows that are over; `idle` is the longest silence of an open flow.
    pub(crate) fn expire(&mut self, now: Time, idle: Span) {
        self.entries.retain(|_, entry| {
            let silent = now - entry.seen;
            match entry.phase {
                Phase::Closed => silent < LINGER,
                _ => silent < idle,
            }
        });
    }

    /// Removes the flows that began before `since`, which are gone; returns those that were open, with
    /// the position that callers received. Of later flows it is not known whether they are gone.
    pub(crate) fn clear_before(&mut self, since: Time) -> Vec<(FlowKey, u32)> {
        let mut gone = Vec::new();
        self.entries.retain(|flow, entry| {
            if entry.since >= since {
                if entry.phase == Phase::Open {
                    entry.phase = Phase::Answered;
                }
                return true;
            }
            if entry.is_held() {
                gone.push((*flow, entry.received()));
            }
            false
        });
        gone
    }

    /// Removes all flows; returns those that were open, with the position that callers received.
    pub(crate) fn clear(&mut self) -> Vec<(FlowKey, u32)> {
        let entries = self.entries.drain(..);
        let open = entries.filter(|(_, entry)| entry.is_held());
        open.map(|(flow, entry)| (flow, entry.received())).collect()
    }
}
