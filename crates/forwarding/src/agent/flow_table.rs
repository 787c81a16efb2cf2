use indexmap::{IndexMap, IndexSet};
use usher_queueing::Caller;
use usher_types::{Rank, Span, Time};

use super::entry::{Entry, Phase, Terms};
use crate::FlowKey;

// Late copies of a closed flow's last packets still go to its backend server. A sender repeats a
// packet after 1.6 s at the latest.
const CLOSED_RETENTION: Span = Span::from_secs(4);

/// The flows of one backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowTable {
    entries: IndexMap<FlowKey, Entry>,
    /// Flows with a handshake or request in progress, or one that has timed out since the last
    /// [`Self::expire`].
    busy: IndexSet<FlowKey>,
}

impl FlowTable {
    pub(crate) fn get(&self, flow: &FlowKey) -> Option<&Entry> {
        self.entries.get(flow)
    }

    /// Changes the entry of a flow; `None` if there is none.
    pub(crate) fn update<T>(
        &mut self,
        flow: &FlowKey,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        let entry = self.entries.get_mut(flow)?;
        let result = change(entry);
        if entry.is_busy() {
            self.busy.insert(*flow);
        } else {
            self.busy.swap_remove(flow);
        }
        Some(result)
    }

    pub(crate) fn insert(&mut self, flow: FlowKey, entry: Entry) {
        if entry.is_busy() {
            self.busy.insert(flow);
        }
        self.entries.insert(flow, entry);
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) -> Option<Entry> {
        self.busy.swap_remove(flow);
        self.entries.swap_remove(flow)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of flows that are not closed.
    pub(crate) fn open(&self) -> usize {
        let open = |entry: &&Entry| entry.phase != Phase::Closed;
        self.entries.values().filter(open).count()
    }

    /// Number of flows that take a slot at the backend server, or will.
    pub(crate) fn working(&self, now: Time) -> usize {
        self.working_entries(now).count()
    }

    /// Number of flows of a caller that take a slot, in one rank.
    pub(crate) fn working_of(&self, now: Time, rank: Rank, caller: Caller) -> usize {
        let is_of = |(flow, entry): &(&FlowKey, &Entry)| {
            (caller == Caller::ANY || caller == Caller::new(*flow.caller.ip()))
                && entry.terms.is_some_and(|terms| terms.rank == rank)
        };
        self.working_entries(now).filter(is_of).count()
    }

    /// Whether a flow of this rank or a better one takes a slot; unknown ranks count as such.
    pub(crate) fn has_rank(&self, now: Time, rank: Rank) -> bool {
        self.working_entries(now)
            .any(|(_, entry)| entry.terms.is_none_or(|terms| terms.rank <= rank))
    }

    /// Number of flows that take a slot before a request of this rank does.
    ///
    /// Requests of worse ranks that were delivered without a free slot do not count. They would
    /// otherwise keep better ranks waiting for as long as an overload lasts.
    pub(crate) fn working_before(&self, now: Time, rank: Rank) -> usize {
        let is_worse = |terms: Terms| terms.rank > rank;
        let counts = |(_, entry): &(&FlowKey, &Entry)| {
            !(entry.is_forced() && entry.terms.is_some_and(is_worse))
        };
        self.working_entries(now).filter(counts).count()
    }

    /// Starts of requests that have just become late.
    pub(crate) fn take_late(&mut self, now: Time) -> impl Iterator<Item = Time> {
        self.entries
            .values_mut()
            .filter_map(move |entry| entry.take_late(now))
    }

    /// Number of flows from before `since` whose callers wait for an answer.
    pub(crate) fn requested_before(&self, since: Time) -> usize {
        let entries = self.entries.values();
        let waiting = entries.filter(|entry| entry.first_seen < since && entry.is_requested());
        waiting.count()
    }

    /// Removes flows that have ended; an open flow ends after `idle` without packets.
    pub(crate) fn expire(&mut self, now: Time, idle: Span) {
        self.entries.retain(|_, entry| {
            let silent = now - entry.last_seen;
            match entry.phase {
                Phase::Closed => silent < CLOSED_RETENTION,
                _ => silent < idle,
            }
        });
        let entries = &self.entries;
        self.busy.retain(|flow| {
            let entry = entries.get(flow);
            entry.is_some_and(|entry| entry.is_working(now))
        });
    }

    /// Removes the flows that began before `since`, which are lost with the previous process.
    ///
    /// Returns those that were held, each with the position up to which its caller has received.
    /// Later flows may be held by the new process, so they stay, but no longer count as open: the
    /// backend server may return their packets.
    pub(crate) fn clear_before(&mut self, since: Time) -> Vec<(FlowKey, u32)> {
        let mut lost = Vec::new();
        self.entries.retain(|flow, entry| {
            if entry.first_seen >= since {
                if entry.phase == Phase::Open {
                    entry.become_uncertain();
                }
                return true;
            }
            if entry.is_held() {
                lost.push((*flow, entry.received()));
            }
            false
        });
        let entries = &self.entries;
        self.busy.retain(|flow| entries.contains_key(flow));
        lost
    }

    /// Removes all flows; returns those that were held, as [`Self::clear_before`] does.
    pub(crate) fn clear(&mut self) -> Vec<(FlowKey, u32)> {
        self.busy.clear();
        let entries = self.entries.drain(..);
        let open = entries.filter(|(_, entry)| entry.is_held());
        open.map(|(flow, entry)| (flow, entry.received())).collect()
    }

    // An entry that is not busy takes no slot, so only the busy ones are read.
    fn working_entries(&self, now: Time) -> impl Iterator<Item = (&FlowKey, &Entry)> {
        let busy = self.busy.iter();
        busy.filter_map(|flow| self.entries.get_key_value(flow))
            .filter(move |(_, entry)| entry.is_working(now))
    }
}
