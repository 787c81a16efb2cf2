use std::collections::BTreeSet;

use indexmap::IndexMap;
use usher_types::{RequestKey, Time};

use crate::ask::{Ask, Phase};

/// The keys of a holder, with the times at which they fall due.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    by_key: IndexMap<RequestKey, Ask>,
    due: BTreeSet<(Time, RequestKey)>,
}

impl Asks {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Ask> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Ask> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn put(&mut self, key: RequestKey, ask: Ask) {
        self.take(key);
        self.due.insert((ask.due, key));
        self.by_key.insert(key, ask);
    }

    pub(crate) fn take(&mut self, key: RequestKey) -> Option<Ask> {
        let ask = self.by_key.swap_remove(&key)?;
        self.due.remove(&(ask.due, key));
        Some(ask)
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(due, _)| *due)
    }

    pub(crate) fn take_due(&mut self, now: Time) -> Option<(RequestKey, Ask)> {
        let (due, key) = self.due.first().copied()?;
        if due > now {
            return None;
        }
        self.take(key).map(|ask| (key, ask))
    }

    /// Copies of the entries that exchange messages with an owner.
    pub(crate) fn undecided(&self) -> Vec<(RequestKey, Ask)> {
        let settled = |ask: &Ask| matches!(ask.phase, Phase::Permitted { .. } | Phase::Done(_));
        let asks = self.by_key.iter().filter(|(_, ask)| !settled(ask));
        asks.map(|(key, ask)| (*key, ask.clone())).collect()
    }
}
