use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;
use usher_forwarding::{NodeId, StaleEntries};
use usher_platform::{Listing, Request, WatchAnswer};
use usher_types::{Span, Version};

use super::state::State;
use crate::control::{Backoff, Listed, list_balancers, register, remove};
use crate::event;
use crate::http::Client;

// Longest wait of a call for changes. Keep-alive probes detect a dead connection sooner.
const WATCH_WAIT: Span = Span::from_secs(10);
// The store answers in 4 ms; one that is 50 times slower is still usable.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);
// How often the list of balancers is read again, to find those that a partition hid.
const RELIST_INTERVAL: Duration = Duration::from_secs(15);
const OK: u16 = 200;
const GONE: u16 = 410;

/// Follows the operator's configuration in the store.
pub(crate) async fn follow(state: Rc<RefCell<State>>, store: SocketAddrV4, resync: Rc<Notify>) {
    let metrics = Arc::clone(&state.borrow().metrics);
    let mut client = Client::new(store, Arc::clone(&metrics));
    let mut backoff = Backoff::new();
    let mut since: Option<Version> = None;
    let mut available = true;
    loop {
        let outcome = match since {
            None => read(&state, &mut client).await,
            Some(version) => tokio::select! {
                outcome = watch(&state, &mut client, version) => outcome,
                () = resync.notified() => {
                    // Drops the call in flight together with its connection.
                    client = Client::new(store, Arc::clone(&metrics));
                    Ok(None)
                }
            },
        };
        let fault = match outcome {
            Ok(next) => {
                since = next;
                backoff.reset();
                if !available {
                    available = true;
                    event::STORE_UP.log(&[("version", &state.borrow().version())]);
                }
                continue;
            }
            Err(fault) => fault,
        };
        if available {
            available = false;
            event::STORE_DOWN.log(&[
                ("call", &"configuration"),
                ("fault", &fault),
                ("version", &state.borrow().version()),
            ]);
        }
        backoff.wait().await;
    }
}

// Reads the configuration; returns the version to watch from.
async fn read(state: &RefCell<State>, client: &mut Client) -> Result<Option<Version>, String> {
    let request = Request::configuration();
    let reply = client
        .call("read", &request, CALL_TIMEOUT)
        .await
        .map_err(|fault| fault.to_string())?;
    state.borrow_mut().on_era(reply.era);
    if reply.status != OK {
        return Err(format!("status {}", reply.status));
    }
    let listing = Listing::parse(&reply).map_err(|fault| fault.to_string())?;
    let store_version = listing.store_version;
    if let Some(object) = listing.configuration() {
        let mut state = state.borrow_mut();
        state.adopt(object.version, object.spec, "store");
    }
    Ok(Some(store_version))
}

// Waits for changes; returns the version to watch from, or `None` to read all again.
async fn watch(
    state: &RefCell<State>,
    client: &mut Client,
    since: Version,
) -> Result<Option<Version>, String> {
    let request = Request::watch_configuration(since, WATCH_WAIT);
    let reply = client
        .call("watch", &request, WATCH_WAIT + CALL_TIMEOUT)
        .await
        .map_err(|fault| fault.to_string())?;
    state.borrow_mut().on_era(reply.era);
    if reply.status == GONE {
        event::HISTORY_DROPPED.log(&[("since", &since)]);
        return Ok(None);
    }
    if reply.status != OK {
        return Err(format!("status {}", reply.status));
    }
    let answer = WatchAnswer::parse(&reply).map_err(|fault| fault.to_string())?;
    let store_version = answer.store_version.max(since);
    for object in answer.configurations() {
        let mut state = state.borrow_mut();
        state.adopt(object.version, object.spec, "store");
    }
    Ok(Some(store_version))
}

#[derive(Debug, Deserialize)]
struct Fetched {
    version: Version,
    document: Value,
}

/// Fetches the configuration from another balancer.
pub(crate) async fn fetch(state: Rc<RefCell<State>>, from: NodeId, port: u16) {
    let address = SocketAddrV4::new(from.address(), port);
    let request = Request {
        method: "GET",
        path: super::control::CONFIGURATION_PATH.to_owned(),
        body: String::new(),
    };
    let metrics = Arc::clone(&state.borrow().metrics);
    let reply = Client::new(address, metrics)
        .call("fetch", &request, CALL_TIMEOUT)
        .await;
    let fetched = match reply {
        Ok(reply) if reply.status == OK => {
            serde_json::from_slice::<Fetched>(&reply.body).map_err(|fault| fault.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(fault) => Err(fault.to_string()),
    };
    match fetched {
        Ok(fetched) => {
            state
                .borrow_mut()
                .adopt(fetched.version, fetched.document, "balancer");
        }
        Err(fault) => event::CONFIG_FETCH_FAILED.log(&[("balancer", &from), ("fault", &fault)]),
    }
}

/// Registers this balancer in the store and finds the others there.
pub(crate) async fn find_balancers(state: Rc<RefCell<State>>) {
    let (store, name, node) = {
        let state = state.borrow();
        let settings = &state.settings;
        (settings.store, settings.name.clone(), settings.node)
    };
    let metrics = Arc::clone(&state.borrow().metrics);
    let mut client = Client::new(store, metrics);
    register(&mut client, &name, node).await;
    let mut stale_entries = StaleEntries::default();
    loop {
        if let Some(listed) = list_balancers(&mut client).await {
            let departed = add_listed(&state, &mut stale_entries, &listed);
            for entry in listed.iter().filter(|entry| departed.contains(&entry.node)) {
                remove(&mut client, entry).await;
            }
        }
        tokio::time::sleep(RELIST_INTERVAL).await;
    }
}

// Adds listed balancers to the fleet; returns those whose entries are to be removed.
fn add_listed(
    state: &RefCell<State>,
    stale_entries: &mut StaleEntries,
    listed: &[Listed],
) -> Vec<NodeId> {
    let now = usher_clock::now();
    let mut state = state.borrow_mut();
    let local = state.settings.node;
    for entry in listed.iter().filter(|entry| entry.node != local) {
        state.fleet.add(now, entry.node);
    }
    let (fleet, centre) = (&state.fleet, &state.settings.centre);
    let nodes = listed.iter().map(|entry| entry.node);
    let watched: Vec<NodeId> = nodes.filter(|node| fleet.watches(*node, centre)).collect();
    stale_entries.observe(now, local, &watched, &fleet.watchers(now, centre))
}
