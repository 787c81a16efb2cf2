use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_types::{Span, Version};

use crate::ServiceKey;

/// The operator's configuration, as far as forwarding needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The store's version of the document; the only order between configurations.
    pub version: Version,
    /// Number that the operator gave it; for people only.
    pub label: u64,
    /// Routes by the address that callers use.
    pub routes: IndexMap<SocketAddrV4, Route>,
    /// Entries of the document that name nothing to use.
    pub ignored: usize,
}

/// Where new flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave it.
    pub name: String,
    /// Services and their shares of new flows; never empty.
    pub services: Vec<(ServiceKey, u32)>,
    /// Longest time that a request may take.
    pub timeout: Span,
    /// Time within which an answer is of full use to its caller.
    pub target: Span,
    /// Rank under load; 0 is served first.
    pub rank: u8,
}

impl Route {
    /// The service for a new flow, by shares; the same in every process.
    pub(crate) fn service(&self, hash: u64) -> Option<ServiceKey> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        let Some(mut place) = hash.checked_rem(total) else {
            return self.services.first().map(|(service, _)| *service);
        };
        for (service, share) in &self.services {
            if place < u64::from(*share) {
                return Some(*service);
            }
            place -= u64::from(*share);
        }
        None
    }
}
