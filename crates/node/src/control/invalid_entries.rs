use std::mem;
use std::sync::Arc;

use indexmap::IndexSet;
use usher_platform::InvalidEntry;

use crate::event;
use crate::metrics::Metrics;

// Entries remembered between two whole lists. With more of them some are logged again.
const MAX_KNOWN: usize = 1_024;
// Bounds a log line that quotes a name of another writer.
const NAME_CHARS: usize = 100;

/// The entries of the store that a reader cannot decode; each is logged once while it lasts.
#[derive(Debug)]
pub(crate) struct InvalidEntries {
    /// Name and reason of each entry.
    known: IndexSet<(String, String)>,
    metrics: Arc<Metrics>,
}

impl InvalidEntries {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            known: IndexSet::new(),
            metrics,
        }
    }

    /// Records the invalid entries of a whole list of a kind.
    pub(crate) fn replace(&mut self, kind: &'static str, entries: &[InvalidEntry]) {
        let before = mem::take(&mut self.known);
        for entry in entries {
            self.record(kind, entry, &before);
        }
        self.metrics.set_invalid(kind, entries.len());
    }

    /// Records the invalid entries among the changes to a kind.
    pub(crate) fn add(&mut self, kind: &'static str, entries: &[InvalidEntry]) {
        for entry in entries {
            self.record(kind, entry, &IndexSet::new());
        }
        self.metrics.set_invalid(kind, self.known.len());
    }

    fn record(
        &mut self,
        kind: &'static str,
        entry: &InvalidEntry,
        before: &IndexSet<(String, String)>,
    ) {
        let name = entry.name.as_deref().unwrap_or("unreadable");
        let name: String = name.chars().take(NAME_CHARS).collect();
        let seen = (name, entry.fault.to_string());
        if self.known.contains(&seen) {
            return;
        }
        if !before.contains(&seen) {
            let (name, fault) = &seen;
            event::ENTRY_INVALID.log(&[("kind", &kind), ("name", name), ("fault", fault)]);
        }
        if self.known.len() >= MAX_KNOWN {
            self.known.clear();
        }
        self.known.insert(seen);
    }
}
