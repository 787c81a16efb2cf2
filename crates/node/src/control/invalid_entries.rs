use std::mem;
use std::sync::Arc;

use indexmap::IndexSet;
use usher_platform::InvalidEntry;

use crate::event;
use crate::metrics::Metrics;

/// The entries of the store that a reader cannot decode; each is logged once while it lasts.
#[derive(Debug)]
pub(crate) struct InvalidEntries {
    known: IndexSet<(Option<String>, String)>,
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
            let seen = (entry.name.clone(), entry.fault.to_string());
            if !before.contains(&seen) {
                log(kind, entry);
            }
            self.known.insert(seen);
        }
        self.metrics.set_invalid(kind, entries.len());
    }

    /// Records the invalid entries among the changes to a kind.
    pub(crate) fn add(&mut self, kind: &'static str, entries: &[InvalidEntry]) {
        for entry in entries {
            let seen = (entry.name.clone(), entry.fault.to_string());
            if self.known.insert(seen) {
                log(kind, entry);
            }
        }
        self.metrics.set_invalid(kind, self.known.len());
    }
}

fn log(kind: &'static str, entry: &InvalidEntry) {
    let name = entry.name.as_deref().unwrap_or("unreadable");
    event::ENTRY_INVALID.log(&[("kind", &kind), ("name", &name), ("fault", &entry.fault)]);
}
