use std::time::Duration;

use serde::{Deserialize, Serialize};
use usher_forwarding::NodeId;
use usher_platform::{Listing, Object, Request};
use usher_types::{Span, Version};

use crate::event;
use crate::http::Client;

// Kind of the objects under which balancers register.
const BALANCERS: &str = "balancers";
// The store answers in 4 ms; one that is 50 times slower is still usable.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const OK: u16 = 200;
const CREATED: u16 = 201;
const CONFLICT: u16 = 409;

/// A balancer's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    address: NodeId,
}

/// Exponential backoff between failed calls.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self { pause: FIRST_PAUSE }
    }

    pub(crate) async fn wait(&mut self) {
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::new();
    }
}

/// Registers a balancer in the store under its machine's name; retries until it succeeds.
pub(crate) async fn register(client: &mut Client, name: &str, node: NodeId) {
    let entry = serde_json::json!(Entry { address: node });
    let mut request = Request::create(BALANCERS, name, &entry);
    let mut backoff = Backoff::new();
    loop {
        match client.call("register", &request, CALL_TIMEOUT).await {
            Ok(reply) if matches!(reply.status, OK | CREATED) => break,
            Ok(reply) if reply.status == CONFLICT => {
                // Created before, by an earlier process or by a call whose answer was lost.
                match Object::parse(&reply) {
                    Ok(object) if object.spec == entry => break,
                    Ok(object) => {
                        request = Request::replace(BALANCERS, name, object.version, &entry);
                        continue;
                    }
                    Err(fault) => {
                        event::STORE_DOWN.log(&[("call", &"register"), ("fault", &fault)]);
                    }
                }
            }
            Ok(reply) => event::STORE_DOWN.log(&[("call", &"register"), ("status", &reply.status)]),
            Err(fault) => event::STORE_DOWN.log(&[("call", &"register"), ("fault", &fault)]),
        }
        backoff.wait().await;
    }
    event::REGISTERED.log(&[("node", &node)]);
}

/// A balancer that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Listed {
    pub(crate) node: NodeId,
    name: String,
    version: Version,
}

/// Removes a balancer's entry, unless it has changed since it was listed.
///
/// If the answer is lost, the next list shows the outcome.
pub(crate) async fn remove(client: &mut Client, listed: &Listed) {
    let request = Request::delete(BALANCERS, &listed.name, listed.version);
    let outcome = match client.call("remove", &request, CALL_TIMEOUT).await {
        Ok(reply) => format!("status {}", reply.status),
        Err(fault) => fault.to_string(),
    };
    event::BALANCER_REMOVED.log(&[
        ("balancer", &listed.node),
        ("version", &listed.version),
        ("outcome", &outcome),
    ]);
}

/// Lists the balancers in the store; `None` if the store is not available.
///
/// The list may be some seconds old.
pub(crate) async fn list_balancers(client: &mut Client) -> Option<Vec<Listed>> {
    let mut nodes = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let request = Request::list(BALANCERS, after.as_deref(), true);
        let reply = match client.call("balancers", &request, CALL_TIMEOUT).await {
            Ok(reply) => reply,
            Err(fault) => {
                event::STORE_DOWN.log(&[("call", &"balancers"), ("fault", &fault)]);
                return None;
            }
        };
        if reply.status != OK {
            event::STORE_DOWN.log(&[("call", &"balancers"), ("status", &reply.status)]);
            return None;
        }
        let listing = match Listing::parse(&reply) {
            Ok(listing) => listing,
            Err(fault) => {
                event::STORE_DOWN.log(&[("call", &"balancers"), ("fault", &fault)]);
                return None;
            }
        };
        after = listing.objects.last().map(|object| object.name.clone());
        for object in listing.objects {
            match serde_json::from_value::<Entry>(object.spec) {
                Ok(entry) if !object.deleting => nodes.push(Listed {
                    node: entry.address,
                    name: object.name,
                    version: object.version,
                }),
                Ok(_) => {}
                Err(fault) => {
                    event::MALFORMED.log(&[("balancer", &object.name), ("fault", &fault)]);
                }
            }
        }
        if !listing.more || after.is_none() {
            return Some(nodes);
        }
    }
}
