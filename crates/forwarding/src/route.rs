use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_types::{ColdRate, Span};

use crate::{AllowedRegions, ConfigurationVersion, ServiceKey};

/// The part of the operator's configuration that forwarding uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the document, which alone orders configurations.
    pub version: ConfigurationVersion,
    /// Routes by the address that callers connect to.
    pub routes: IndexMap<SocketAddrV4, Route>,
    /// Rates of the services whose cold hosts take a limited number of requests.
    pub cold_rates: IndexMap<ServiceKey, ColdRate>,
    /// Number of routes of the document that cannot be used.
    pub ignored: usize,
    /// Number of services of the document whose rules cannot be used.
    pub ignored_services: usize,
}

impl Configuration {
    /// Rate of cold hosts of a service.
    pub(crate) fn cold_rate(&self, service: ServiceKey) -> ColdRate {
        self.cold_rates.get(&service).copied().unwrap_or_default()
    }
}

/// How flows to one address are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name set by the operator.
    pub name: String,
    /// Services and their shares of new flows; never empty.
    pub services: Vec<(ServiceKey, u32)>,
    /// Longest time that a request may take.
    pub timeout: Span,
    /// Time within which an answer has its full value for the caller.
    pub target: Span,
    /// Priority under load; 0 is served first.
    pub rank: u8,
    /// Requests may run more than once, so that an opening packet may go to two hosts.
    pub repeatable: bool,
    /// Regions of the hosts that its flows may reach.
    pub regions: AllowedRegions,
}

impl Route {
    /// Chooses the service of a new flow by shares; all processes choose alike.
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
