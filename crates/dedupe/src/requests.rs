use std::collections::BTreeSet;

use indexmap::IndexMap;
use usher_types::{RequestKey, Time};

use crate::request::{Phase, Request};

/// A holder's requests by key, with the times at which they fall due.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_key: IndexMap<RequestKey, Request>,
    due: BTreeSet<(Time, RequestKey)>,
}

impl Requests {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn put(&mut self, key: RequestKey, request: Request) {
        self.take(key);
        self.due.insert((request.due, key));
        self.by_key.insert(key, request);
    }

    pub(crate) fn take(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.by_key.swap_remove(&key)?;
        self.due.remove(&(request.due, key));
        Some(request)
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(due, _)| *due)
    }

    pub(crate) fn take_due(&mut self, now: Time) -> Option<(RequestKey, Request)> {
        let (due, key) = self.due.first().copied()?;
        if due > now {
            return None;
        }
        self.take(key).map(|request| (key, request))
    }

    /// Copies of the requests that still exchange messages with an owner.
    pub(crate) fn awaiting_owner(&self) -> Vec<(RequestKey, Request)> {
        let settled =
            |request: &Request| matches!(request.phase, Phase::Permitted { .. } | Phase::Done(_));
        let requests = self.by_key.iter().filter(|(_, request)| !settled(request));
        requests
            .map(|(key, request)| (*key, request.clone()))
            .collect()
    }
}
