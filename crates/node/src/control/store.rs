use std::time::Duration;

use serde::{Deserialize, Serialize};
use usher_forwarding::NodeId;
use usher_platform::{Listing, Object, Request};
use usher_types::{Era, Span, Version};

use super::balancer_list::BalancerList;
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
const MISSING: u16 = 404;
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
///
/// Returns the version of the entry.
pub(crate) async fn register(client: &mut Client, name: &str, node: NodeId) -> Version {
    let entry = serde_json::json!(Entry { address: node });
    let mut request = Request::create(BALANCERS, name, &entry);
    let mut backoff = Backoff::new();
    loop {
        match client.call("register", &request, CALL_TIMEOUT).await {
            Ok(reply) if matches!(reply.status, OK | CREATED | CONFLICT) => {
                match Object::parse(&reply) {
                    Ok(object) if object.spec == entry => {
                        let version = object.version;
                        event::REGISTERED.log(&[("node", &node), ("version", &version)]);
                        return version;
                    }
                    // Created before, by an earlier process or by a call whose answer was lost.
                    Ok(object) => {
                        request = Request::replace(BALANCERS, name, object.version, &entry);
                        continue;
                    }
                    Err(fault) => {
                        event::STORE_DOWN.log(&[("call", &"register"), ("fault", &fault)]);
                    }
                }
            }
            // The entry that was to be replaced is gone.
            Ok(reply) if reply.status == MISSING => {
                request = Request::create(BALANCERS, name, &entry);
            }
            Ok(reply) => event::STORE_DOWN.log(&[("call", &"register"), ("status", &reply.status)]),
            Err(fault) => event::STORE_DOWN.log(&[("call", &"register"), ("fault", &fault)]),
        }
        backoff.wait().await;
    }
}

/// A balancer that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Listed {
    pub(crate) node: NodeId,
    name: String,
    pub(crate) version: Version,
}

/// Removes a balancer's entry, unless it has changed since it was listed.
///
/// Returns the era of the answer. If the answer is lost, the next list shows the outcome.
pub(crate) async fn remove(client: &mut Client, listed: &Listed) -> Option<Era> {
    let request = Request::delete(BALANCERS, &listed.name, listed.version);
    let reply = client.call("remove", &request, CALL_TIMEOUT).await;
    let outcome = match &reply {
        Ok(reply) => format!("status {}", reply.status),
        Err(fault) => fault.to_string(),
    };
    event::BALANCER_REMOVED.log(&[
        ("balancer", &listed.node),
        ("version", &listed.version),
        ("outcome", &outcome),
    ]);
    reply.ok().map(|reply| reply.era)
}

/// Lists the balancers in the store; `None` if the store is not available.
///
/// With `allow_stale` the list may be some seconds old, and of an earlier era.
pub(crate) async fn list_balancers(client: &mut Client, allow_stale: bool) -> Option<BalancerList> {
    let mut list: Option<BalancerList> = None;
    let mut after: Option<String> = None;
    loop {
        let request = Request::list(BALANCERS, after.as_deref(), allow_stale);
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
        let version = listing.store_version;
        let known = list.get_or_insert_with(|| BalancerList {
            version,
            entries: Vec::new(),
        });
        if version.era() != known.version.era() {
            let fault = "store restored between two pages";
            event::STORE_DOWN.log(&[("call", &"balancers"), ("fault", &fault)]);
            return None;
        }
        let more = listing.more;
        after = listing.objects.last().map(|object| object.name.clone());
        known
            .entries
            .extend(listing.objects.into_iter().filter_map(read_entry));
        if !more || after.is_none() {
            return list;
        }
    }
}

fn read_entry(object: Object) -> Option<Listed> {
    match serde_json::from_value::<Entry>(object.spec) {
        Ok(_) if object.deleting => None,
        Ok(entry) => Some(Listed {
            node: entry.address,
            name: object.name,
            version: object.version,
        }),
        Err(fault) => {
            event::MALFORMED.log(&[("balancer", &object.name), ("fault", &fault)]);
            None
        }
    }
}
