use std::net::{Ipv4Addr, SocketAddrV4};

use async_std::task;
use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use usher_evacuation::EvacuationStatus;
use usher_platform::{CallError, Client, Listing, Object, Reply, Request, decode_evacuation};
use usher_types::{DataCentre, Span};

use crate::error::CliError;

const CALL_TIMEOUT: Span = Span::from_secs(1);
// Kind of the objects under which balancers register.
const BALANCERS: &str = "balancers";
// Path at which a balancer tells which evacuations are in force.
const STATUS_PATH: &str = "/evacuations";
// Writes of another operator that may come between reading a request and withdrawing it.
const END_ATTEMPTS: usize = 3;
const OK: u16 = 200;
const CREATED: u16 = 201;
const MISSING: u16 = 404;
const CONFLICT: u16 = 409;

/// The requests in the store, and what each balancer has in force.
#[derive(Debug, Default)]
pub(crate) struct Overview {
    pub(crate) requested: IndexSet<DataCentre>,
    /// Names of objects that cannot be decoded.
    pub(crate) invalid: Vec<String>,
    /// Answer of each balancer; `None` if there was none.
    pub(crate) balancers: IndexMap<Ipv4Addr, Option<EvacuationStatus>>,
}

/// A balancer's entry in the store.
#[derive(Debug, Deserialize)]
struct Entry {
    address: Ipv4Addr,
}

/// Access to the store of the users' platform.
#[derive(Debug)]
pub(crate) struct Evacuations {
    store: Client,
}

impl Evacuations {
    pub(crate) fn new(store: SocketAddrV4) -> Self {
        Self {
            store: Client::new(store),
        }
    }

    /// Requests an evacuation; `false` if it was requested before.
    pub(crate) async fn begin(&self, centre: &DataCentre) -> Result<bool, CliError> {
        let request = Request::evacuate(centre);
        let status = match self.store.call(&request, CALL_TIMEOUT).await {
            Ok(reply) => reply.status,
            // The request may have been written although its answer was lost.
            Err(
                fault @ (CallError::TimedOut | CallError::Stalled { .. } | CallError::Broken(_)),
            ) => {
                let found = self.read(centre).await?;
                return found.map(|_| true).ok_or_else(|| fault.into());
            }
            Err(fault) => return Err(fault.into()),
        };
        match status {
            OK | CREATED => Ok(true),
            CONFLICT => Ok(false),
            status => Err(CliError::StoreStatus {
                call: "the request",
                status,
            }),
        }
    }

    /// Withdraws the request for an evacuation.
    pub(crate) async fn end(&self, centre: &DataCentre) -> Result<(), CliError> {
        let mut status = CONFLICT;
        for _ in 0..END_ATTEMPTS {
            let Some(object) = self.read(centre).await? else {
                return Err(CliError::NotEvacuated(centre.clone()));
            };
            let request = Request::end_evacuation(centre, object.version);
            status = self.store.call(&request, CALL_TIMEOUT).await?.status;
            match status {
                OK | MISSING => return Ok(()),
                CONFLICT => {}
                _ => break,
            }
        }
        let call = "the withdrawal";
        Err(CliError::StoreStatus { call, status })
    }

    /// Reads the requests, and asks all listed balancers on a port what they have in force.
    pub(crate) async fn overview(&self, port: u16) -> Result<Overview, CliError> {
        let mut overview = Overview::default();
        for object in self.list(Request::evacuations).await? {
            match decode_evacuation(&object) {
                Ok(centre) => {
                    overview.requested.insert(centre);
                }
                Err(_fault) => overview.invalid.push(object.name),
            }
        }
        let entries = self
            .list(|after| Request::list(BALANCERS, after, false))
            .await?;
        let entries = entries
            .iter()
            .filter_map(|entry| entry.decode::<Entry>().ok());
        let calls: Vec<_> = entries
            .map(|Entry { address }| {
                let answer = task::spawn(query(SocketAddrV4::new(address, port)));
                (address, answer)
            })
            .collect();
        for (address, answer) in calls {
            overview.balancers.insert(address, answer.await);
        }
        Ok(overview)
    }

    async fn read(&self, centre: &DataCentre) -> Result<Option<Object>, CliError> {
        let request = Request::evacuation(centre);
        let reply = self.store.call(&request, CALL_TIMEOUT).await?;
        if reply.status == MISSING {
            return Ok(None);
        }
        let reply = check(reply)?;
        Ok(Some(Object::parse(&reply).map_err(CliError::Answer)?))
    }

    async fn list(
        &self,
        request: impl Fn(Option<&str>) -> Request,
    ) -> Result<Vec<Object>, CliError> {
        let mut objects = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let request = request(after.as_deref());
            let reply = self.store.call(&request, CALL_TIMEOUT).await?;
            let listing = Listing::parse(&check(reply)?).map_err(CliError::Answer)?;
            let next = listing.next_page(after.as_deref())?.map(str::to_owned);
            objects.extend(listing.objects);
            match next {
                Some(next) => after = Some(next),
                None => return Ok(objects),
            }
        }
    }
}

fn check(reply: Reply) -> Result<Reply, CliError> {
    if reply.status == OK {
        return Ok(reply);
    }
    Err(CliError::StoreStatus {
        call: "the read",
        status: reply.status,
    })
}

async fn query(balancer: SocketAddrV4) -> Option<EvacuationStatus> {
    let request = Request {
        method: "GET",
        path: STATUS_PATH.to_owned(),
        body: String::new(),
    };
    let reply = Client::new(balancer).call(&request, CALL_TIMEOUT).await;
    serde_json::from_slice(&reply.ok()?.body).ok()
}
