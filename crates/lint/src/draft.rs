use std::net::SocketAddrV4;

use usher_types::{Label, Rate, Region, Span};

/// A configuration document, decoded entry by entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// The operator's own number of the document.
    pub version: Label,
    /// Routes in the order of the document.
    pub routes: Vec<Result<DraftRoute, Unusable>>,
    /// Services in the order of the document; empty if it lists none.
    pub services: Vec<Result<DraftService, Unusable>>,
}

/// An entry that cannot be decoded, which nodes skip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unusable {
    /// Place of the entry in its list, from 1 on, and its name if it has one.
    pub entry: String,
    /// Why it cannot be decoded.
    pub cause: String,
}

/// A route of a document.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftRoute {
    /// Name set by the operator.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Type of its requests, if one is given.
    pub request_type: Option<String>,
    /// Longest time that a request may take.
    pub timeout: Span,
    /// Time within which an answer has its full value.
    pub target: Option<Span>,
    /// Priority under load; 0 is served first.
    pub rank: u8,
    /// Regions of the hosts that may serve it, or the text of an entry that names none; empty for all.
    pub regions: Vec<Result<Region, String>>,
    /// The only service; `shares` are not used then.
    pub service: Option<String>,
    /// Services and their shares of new flows.
    pub shares: Vec<(String, u32)>,
}

impl DraftRoute {
    /// The services that get flows of the route.
    pub(crate) fn used_services(&self) -> impl Iterator<Item = &str> {
        let shares = self.shares.iter().filter(|(_, share)| *share > 0);
        let shares = shares.map(|(service, _)| service.as_str());
        let shares = shares.filter(|_| self.service.is_none());
        self.service.as_deref().into_iter().chain(shares)
    }
}

/// A service of a document.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftService {
    /// Its name.
    pub name: String,
    /// Time after its start for which a host is cold.
    pub warmup: Option<Span>,
    /// Requests that a cold host takes in a second.
    pub cold_rate: Option<Rate>,
}

impl Draft {
    /// The routes that can be decoded.
    pub(crate) fn usable_routes(&self) -> impl Iterator<Item = &DraftRoute> {
        self.routes.iter().filter_map(|route| route.as_ref().ok())
    }

    /// The services that can be decoded.
    pub(crate) fn usable_services(&self) -> impl Iterator<Item = &DraftService> {
        let services = self.services.iter();
        services.filter_map(|service| service.as_ref().ok())
    }
}
