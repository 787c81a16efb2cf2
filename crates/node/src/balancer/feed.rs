use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;
use usher_forwarding::{Departures, NodeId};
use usher_platform::{Listing, Request, Watched};
use usher_types::{Span, Version};

use super::state::State;
use crate::control::{Backoff, Listed, list_balancers, register, remove};
use crate::event;
use crate::http::Client;

// A call that waits for changes. Keep-alive probes find a connection that has gone silent sooner.
const WAIT: Span = Span::from_secs(10);
// An answer takes 4 ms; a store that is 50 times slower still serves.
const CALL: Span = Span::from_millis(1_000);
// The list of balancers is read again at this pace, to find those that partitions hid.
const RELIST: Duration = Duration::from_secs(15);
const OK: u16 = 200;
const GONE: u16 = 410;

/// Follows the operator's configuration in the store.
pub(crate) async fn follow(state: Rc<RefCell<State>>, store: SocketAddrV4, again: Rc<Notify>) {
    let metrics = Arc::clone(&state.borrow().metrics);
    let mut client = Client::new(store, Arc::clone(&metrics));
    let mut backoff = Backoff::new();
    let mut since: Option<Version> = None;
    let mut served = true;
    loop {
        let outcome = match since {
            None => read(&state, &mut client).await,
            Some(version) => tokio::select! {
                outcome = watch(&state, &mut client, version) => outcome,
                () = again.notified() => {
                    // The call in flight is dropped, and its connection with it.
                    client = Client::new(store, Arc::clone(&metrics));
                    Ok(None)
                }
            },
        };
        let fault = match outcome {
            Ok(next) => {
                since = next;
                backoff.reset();
                if !served {
                    served = true;
                    event::STORE_BACK.log(&[("version", &state.borrow().version())]);
                }
                continue;
            }
            Err(fault) => fault,
        };
        if served {
            served = false;
            event::STORE_LOST.log(&[
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
        .call("read", &request, CALL)
        .await
        .map_err(|fault| fault.to_string())?;
    if reply.status != OK {
        return Err(format!("status {}", reply.status));
    }
    let listing = Listing::parse(&reply.body).map_err(|fault| fault.to_string())?;
    let at = listing.at;
    if let Some(object) = listing.configuration() {
        let mut state = state.borrow_mut();
        state.adopt(object.version, object.spec, "store");
    }
    Ok(Some(at))
}

// Waits for changes; returns the version to watch from, or none if all has to be read again.
async fn watch(
    state: &RefCell<State>,
    client: &mut Client,
    since: Version,
) -> Result<Option<Version>, String> {
    let request = Request::watch_configuration(since, WAIT);
    let reply = client
        .call("watch", &request, WAIT + CALL)
        .await
        .map_err(|fault| fault.to_string())?;
    if reply.status == GONE {
        event::HISTORY_GONE.log(&[("since", &since)]);
        return Ok(None);
    }
    if reply.status != OK {
        return Err(format!("status {}", reply.status));
    }
    let watched = Watched::parse(&reply.body).map_err(|fault| fault.to_string())?;
    let at = watched.at.max(since);
    for object in watched.configurations() {
        let mut state = state.borrow_mut();
        state.adopt(object.version, object.spec, "store");
    }
    Ok(Some(at))
}

#[derive(Debug, Deserialize)]
struct Offered {
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
        .call("fetch", &request, CALL)
        .await;
    let offered = match reply {
        Ok(reply) if reply.status == OK => {
            serde_json::from_slice::<Offered>(&reply.body).map_err(|fault| fault.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(fault) => Err(fault.to_string()),
    };
    match offered {
        Ok(offered) => {
            state
                .borrow_mut()
                .adopt(offered.version, offered.document, "balancer");
        }
        Err(fault) => event::CONFIG_FETCH_FAILED.log(&[("balancer", &from), ("fault", &fault)]),
    }
}

/// Enters the balancer into the store and learns of the others.
pub(crate) async fn find_balancers(state: Rc<RefCell<State>>) {
    let (store, name, node) = {
        let state = state.borrow();
        let settings = &state.settings;
        (settings.store, settings.name.clone(), settings.node)
    };
    let metrics = Arc::clone(&state.borrow().metrics);
    let mut client = Client::new(store, metrics);
    register(&mut client, &name, node).await;
    let mut departures = Departures::default();
    loop {
        if let Some(listed) = list_balancers(&mut client).await {
            let gone = learn(&state, &mut departures, &listed);
            for entry in listed.iter().filter(|entry| gone.contains(&entry.node)) {
                remove(&mut client, entry).await;
            }
        }
        tokio::time::sleep(RELIST).await;
    }
}

// Learns of the balancers in the list; returns those whose entries are to be removed.
fn learn(state: &RefCell<State>, departures: &mut Departures, listed: &[Listed]) -> Vec<NodeId> {
    let now = usher_clock::now();
    let mut state = state.borrow_mut();
    let own = state.settings.node;
    for entry in listed.iter().filter(|entry| entry.node != own) {
        state.fleet.learn(now, entry.node);
    }
    let (fleet, centre) = (&state.fleet, &state.settings.centre);
    let nodes = listed.iter().map(|entry| entry.node);
    let watched: Vec<NodeId> = nodes.filter(|node| fleet.watches(*node, centre)).collect();
    departures.observe(now, own, &watched, &fleet.watchers(now, centre))
}
