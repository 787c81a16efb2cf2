use std::time::Duration;

use serde::{Deserialize, Serialize};
use usher_forwarding::NodeId;
use usher_platform::{InvalidEntry, Listing, Object, Request};
use usher_types::{Era, Span, Version};

use super::balancer_list::BalancerList;
use super::invalid_entries::InvalidEntries;
use crate::event;
use crate::http::Client;

// Kind of the objects under which balancers register.
pub(crate) const BALANCERS: &str = "balancers";
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
pub(crate) async fn register(client: &Client, name: &str, node: NodeId) -> Version {
    let own = Entry { address: node };
    let entry = serde_json::json!(own);
    let mut request = Request::create(BALANCERS, name, &entry);
    let mut backoff = Backoff::new();
    loop {
        match client.call("register", &request, CALL_TIMEOUT).await {
            Ok(reply) if matches!(reply.status, OK | CREATED | CONFLICT) => {
                match Object::parse(&reply) {
                    Ok(object) if object.decode().as_ref() == Ok(&own) => {
                        let version = object.version;
                        event::REGISTERED.log(&[("node", &node), ("version", &version)]);
                        return version;
                    }
                    // Created before, by an earlier process or by a call whose answer was lost.
                    Ok(object) => {
                        request = Request::replace(BALANCERS, name, object.version, &entry);
                        continue;
                    }
                    // The answer to a refused creation need not contain the entry.
                    Err(_) if reply.status == CONFLICT => {
                        request = Request::get(BALANCERS, name);
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
pub(crate) async fn remove(client: &Client, listed: &Listed) -> Option<Era> {
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
/// With `allow_stale` the list may be some seconds old, and of an earlier era. Entries that cannot be
/// decoded are left out.
pub(crate) async fn list_balancers(
    client: &Client,
    invalid_entries: &mut InvalidEntries,
    allow_stale: bool,
) -> Option<BalancerList> {
    let mut list: Option<BalancerList> = None;
    let mut invalid = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let listing = list_page(client, after.as_deref(), allow_stale).await?;
        let version = listing.store_version;
        let known = list.get_or_insert_with(|| BalancerList {
            version,
            entries: Vec::new(),
            complete: true,
        });
        if version.era() != known.version.era() {
            let fault = "store restored between two pages";
            event::STORE_DOWN.log(&[("call", &"balancers"), ("fault", &fault)]);
            return None;
        }
        let next = listing.next_page(after.as_deref());
        let next = next.map(|next| next.map(str::to_owned));
        invalid.extend(listing.invalid);
        for object in listing.objects {
            match Listed::of(object) {
                Ok(entry) => known.entries.extend(entry),
                Err(entry) => invalid.push(entry),
            }
        }
        after = match next {
            Ok(Some(after)) => Some(after),
            Ok(None) => break,
            Err(fault) => {
                event::LIST_INCOMPLETE.log(&[("kind", &BALANCERS), ("fault", &fault)]);
                known.complete = false;
                break;
            }
        };
    }
    invalid_entries.replace(BALANCERS, &invalid);
    list
}

async fn list_page(client: &Client, after: Option<&str>, allow_stale: bool) -> Option<Listing> {
    let request = Request::list(BALANCERS, after, allow_stale);
    let fault = match client.call("balancers", &request, CALL_TIMEOUT).await {
        Ok(reply) if reply.status == OK => match Listing::parse(&reply) {
            Ok(listing) => return Some(listing),
            Err(fault) => fault.to_string(),
        },
        Ok(reply) => format!("status {}", reply.status),
        Err(fault) => fault.to_string(),
    };
    event::STORE_DOWN.log(&[("call", &"balancers"), ("fault", &fault)]);
    None
}

impl Listed {
    // `None` for an entry that is marked for removal.
    fn of(object: Object) -> Result<Option<Self>, InvalidEntry> {
        match object.decode::<Entry>() {
            Ok(_) if object.deleting => Ok(None),
            Ok(entry) => Ok(Some(Self {
                node: entry.address,
                name: object.name,
                version: object.version,
            })),
            Err(fault) => Err(InvalidEntry {
                name: Some(object.name),
                fault,
            }),
        }
    }
}
