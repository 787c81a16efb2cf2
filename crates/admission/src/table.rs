use std::collections::{BTreeSet, HashMap};

use usher_types::{RequestId, RequestKey, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::queue::Queue;
use crate::task::{Recipient, Task};

/// All requests that the scheduler holds, with their queues and timers.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: HashMap<RequestId, Entry>,
    keys: HashMap<RequestKey, RequestId>,
    /// Maps ids of duplicates to the ids of the requests that they are attached to.
    aliases: HashMap<RequestId, RequestId>,
    timers: BTreeSet<(Time, RequestId)>,
    short: Queue,
    long: Queue,
}

impl Table {
    pub(crate) fn insert(&mut self, entry: Entry) {
        let (id, key) = (entry.task().id(), entry.task().request.key);
        let (class, rank) = (entry.task().class, entry.task().rank);
        if let Some(due) = entry.due() {
            self.timers.insert((due, id));
        }
        if let Some(waiting) = entry.waiting() {
            self.queue_mut(class).insert(rank, waiting);
        }
        if !entry.is_finished() {
            self.keys.insert(key, id);
        }
        self.entries.insert(id, entry);
    }

    /// Removes an entry so that it can change its state.
    pub(crate) fn take(&mut self, id: &RequestId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        let task = entry.task();
        if let Some(due) = entry.due() {
            self.timers.remove(&(due, *id));
        }
        if entry.waiting().is_some() {
            self.queue_mut(task.class).remove(task.rank);
        }
        if !entry.is_finished() {
            self.keys.remove(&task.request.key);
        }
        Some(entry)
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The unfinished request with this key.
    pub(crate) fn holder(&self, key: RequestKey) -> Option<RequestId> {
        self.keys.get(&key).copied()
    }

    pub(crate) fn alias(&mut self, duplicate: RequestId, id: RequestId) {
        self.aliases.insert(duplicate, id);
    }

    pub(crate) fn unalias(&mut self, task: &Task) {
        for recipient in &task.recipients {
            if let Recipient::Local(id) = recipient {
                self.aliases.remove(id);
            }
        }
    }

    pub(crate) fn unalias_id(&mut self, duplicate: &RequestId) {
        self.aliases.remove(duplicate);
    }

    pub(crate) fn resolve(&self, id: RequestId) -> RequestId {
        self.aliases.get(&id).copied().unwrap_or(id)
    }

    pub(crate) fn queue(&self, class: Class) -> &Queue {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, class: Class) -> &mut Queue {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// The request with the earliest timer, if that timer is due.
    pub(crate) fn first_due(&self, now: Time) -> Option<RequestId> {
        let (due, id) = self.timers.first()?;
        (*due <= now).then_some(*id)
    }
}
