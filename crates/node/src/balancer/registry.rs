use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use usher_forwarding::{NodeId, StaleEntries};
use usher_types::{Era, Version};

use super::state::State;
use super::store_signals::StoreSignals;
use crate::control::{Backoff, BalancerList, InvalidEntries, list_balancers, register, remove};
use crate::http::Client;
use crate::{Settings, event};

// How often the list of balancers is read again, to find those that a partition hid.
const RELIST_INTERVAL: Duration = Duration::from_secs(15);
// Bits of a pause of up to 511 ms, over which balancers spread their calls after a restore.
const PAUSE_BITS: u32 = 9;

/// Keeps this balancer registered in the store and finds the others there.
#[derive(Debug)]
pub(crate) struct Registry {
    state: Rc<RefCell<State>>,
    signals: Rc<StoreSignals>,
    client: Client,
    name: String,
    node: NodeId,
    /// Version at which the own entry was last seen.
    registered: Version,
    stale_entries: StaleEntries,
    invalid_entries: InvalidEntries,
}

impl Registry {
    pub(crate) fn new(state: Rc<RefCell<State>>, signals: Rc<StoreSignals>) -> Self {
        let (client, name, node, metrics) = {
            let state = state.borrow();
            let Settings { name, node, .. } = &state.settings;
            let metrics = Arc::clone(&state.metrics);
            (state.store_client(), name.clone(), *node, metrics)
        };
        Self {
            state,
            signals,
            client,
            name,
            node,
            registered: Version::default(),
            stale_entries: StaleEntries::default(),
            invalid_entries: InvalidEntries::new(metrics),
        }
    }

    /// Registers, and reads the list from time to time and after each restore of the store.
    pub(crate) async fn run(mut self) {
        self.register().await;
        self.refresh_now().await;
        loop {
            tokio::select! {
                () = sleep(RELIST_INTERVAL) => {
                    self.refresh(true).await;
                }
                () = self.signals.restored.notified() => {
                    sleep(pause(self.node)).await;
                    self.register().await;
                    self.refresh_now().await;
                }
            }
        }
    }

    // Reads the list as it is now, and repeats the call until it succeeds. A stale list could lack
    // the balancers that have registered since a restore.
    async fn refresh_now(&mut self) {
        let mut backoff = Backoff::new();
        while !self.refresh(false).await {
            backoff.wait().await;
        }
    }

    async fn register(&mut self) {
        self.registered = register(&self.client, &self.name, self.node).await;
        self.is_usable(self.registered.era());
    }

    // Returns whether a list of the present era was read.
    async fn refresh(&mut self, allow_stale: bool) -> bool {
        let (client, invalid_entries) = (&self.client, &mut self.invalid_entries);
        let Some(list) = list_balancers(client, invalid_entries, allow_stale).await else {
            return false;
        };
        if !self.is_usable(list.version.era()) {
            return false;
        }
        if list.complete && list.version >= self.registered && !list.contains(self.node) {
            event::ENTRY_MISSING
                .log(&[("registered", &self.registered), ("version", &list.version)]);
            self.register().await;
        }
        let departed = self.add(&list);
        let entries = list.entries.iter();
        for entry in entries.filter(|entry| departed.contains(&entry.node)) {
            // The store may have been restored since the list was read.
            let position = self.state.borrow().position;
            if !position.covers(entry.version) {
                continue;
            }
            if let Some(era) = remove(&self.client, entry).await {
                self.is_usable(era);
            }
        }
        true
    }

    // Whether an answer may be used; after a restore all readers start again.
    fn is_usable(&self, era: Era) -> bool {
        let judged = self.state.borrow_mut().on_era(era);
        if judged == Some(true) {
            self.signals.resync_all();
            self.signals.restored.notify_one();
        }
        judged.is_some()
    }

    // Adds listed balancers to the fleet; returns those whose entries are to be removed.
    fn add(&mut self, list: &BalancerList) -> Vec<NodeId> {
        let now = usher_clock::now();
        let mut state = self.state.borrow_mut();
        let local = self.node;
        let nodes = list.entries.iter().map(|entry| entry.node);
        for node in nodes.clone().filter(|node| *node != local) {
            state.fleet.add(now, node);
        }
        let (fleet, centre) = (&state.fleet, &state.settings.centre);
        let watched: Vec<NodeId> = nodes.filter(|node| fleet.watches(*node, centre)).collect();
        let watchers = fleet.watchers(now, centre);
        self.stale_entries.observe(now, local, &watched, &watchers)
    }
}

// Pause of a balancer before it registers again, so that not all write at once.
fn pause(node: NodeId) -> Duration {
    Duration::from_millis(u64::from(node.scattered() >> (u32::BITS - PAUSE_BITS)))
}
