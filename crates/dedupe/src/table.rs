use std::collections::BTreeSet;

use indexmap::IndexMap;
use usher_types::{RequestKey, Time};

use crate::entry::Entry;
use crate::record::{Record, State};

/// Records by key, with the times at which they fall due.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: IndexMap<RequestKey, Entry>,
    due: BTreeSet<(Time, RequestKey)>,
}

impl Table {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&State> {
        self.entries.get(&key).map(|entry| &entry.state)
    }

    pub(crate) fn put(&mut self, now: Time, key: RequestKey, state: State) {
        self.insert(
            key,
            Entry {
                state,
                changed: now,
            },
        );
    }

    pub(crate) fn merge(&mut self, now: Time, key: RequestKey, record: Record) {
        let incoming = Entry::from_record(record, now);
        let merged = match self.entries.get(&key).cloned() {
            Some(known) => Entry {
                changed: known.changed.max(incoming.changed),
                state: known.state.merge(incoming.state),
            },
            None => incoming,
        };
        self.insert(key, merged);
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Ends overdue grants and drops old records; returns how many holders never reported.
    pub(crate) fn expire(&mut self, now: Time) -> usize {
        let mut abandoned = 0;
        while let Some((due, key)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, key));
            let Some(entry) = self.entries.swap_remove(&key) else {
                continue;
            };
            if let State::Granted { .. } = entry.state {
                abandoned += 1;
                self.put(now, key, State::Unknown);
            }
        }
        abandoned
    }

    pub(crate) fn records(&self, now: Time) -> impl Iterator<Item = (RequestKey, Record)> + '_ {
        let records = self.entries.iter();
        records.map(move |(key, entry)| (*key, entry.to_record(now)))
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn insert(&mut self, key: RequestKey, entry: Entry) {
        self.due.insert((entry.due(), key));
        if let Some(previous) = self.entries.insert(key, entry) {
            let unchanged = self
                .entries
                .get(&key)
                .is_some_and(|e| e.due() == previous.due());
            if !unchanged {
                self.due.remove(&(previous.due(), key));
            }
        }
    }
}
