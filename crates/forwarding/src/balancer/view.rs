use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{Slots, Span, Time, Version};

use super::load_cell::LoadCell;
use super::pace::Pace;
use crate::{Configuration, HostState, NodeId, Route, ServiceKey};

// Services that a route had in earlier configurations may still hold its flows.
const EARLIER: usize = 4;

/// What the traffic thread of a balancer decides by; replaced as a whole.
#[derive(Debug, Default)]
pub struct View {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) services: IndexMap<ServiceKey, ServiceView>,
    pub(crate) earlier: IndexMap<SocketAddrV4, Vec<ServiceKey>>,
    pub(crate) started: Time,
}

/// The hosts of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceView {
    /// In the order of their addresses.
    pub(crate) hosts: Vec<HostView>,
    /// When the latest of them was first heard.
    pub(crate) changed: Time,
}

/// One host, as the traffic thread sees it.
#[derive(Debug, Clone)]
pub(crate) struct HostView {
    pub(crate) node: NodeId,
    /// In the balancer's own data centre.
    pub(crate) near: bool,
    pub(crate) state: HostState,
    pub(crate) slots: Slots,
    pub(crate) warm_at: Time,
    pub(crate) pace: Pace,
    pub(crate) cell: Arc<LoadCell>,
}

impl View {
    pub(crate) fn new(
        started: Time,
        configuration: Arc<Configuration>,
        services: IndexMap<ServiceKey, ServiceView>,
        previous: &Self,
    ) -> Self {
        let mut earlier = previous.earlier.clone();
        if configuration.version != previous.configuration.version {
            remember(&mut earlier, &previous.configuration);
            earlier.retain(|address, _| configuration.routes.contains_key(address));
        }
        Self {
            configuration,
            services,
            earlier,
            started,
        }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Version {
        self.configuration.version
    }

    pub(crate) fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.configuration.routes.get(address)
    }

    pub(crate) fn hosts(&self, service: ServiceKey) -> &[HostView] {
        self.services
            .get(&service)
            .map_or(&[], |view| view.hosts.as_slice())
    }

    /// Services that may hold flows of a route, the current ones first.
    pub(crate) fn holders(&self, address: &SocketAddrV4) -> impl Iterator<Item = ServiceKey> {
        let route = self.route(address);
        let current = route.into_iter().flat_map(|route| &route.services);
        let earlier = self.earlier.get(address).into_iter().flatten();
        let listed = current.map(|(service, _)| *service).chain(earlier.copied());
        listed.chain(self.services.keys().copied())
    }

    /// Whether all hosts that could hold a flow of the route are present: all are heard, none has
    /// joined lately, and the balancer has run for long enough to know them.
    pub(crate) fn is_settled(&self, now: Time, settle: Span) -> bool {
        let mut hosts = self.services.values().flat_map(|view| &view.hosts);
        let joined = self.services.values().map(|view| view.changed).max();
        now - self.started >= settle
            && joined.is_some_and(|joined| now - joined >= settle)
            && hosts.all(|host| {
                host.state == HostState::Ended
                    || (host.state != HostState::Unheard
                        && now - host.cell.heard() < host.pace.fresh())
            })
    }
}

fn remember(earlier: &mut IndexMap<SocketAddrV4, Vec<ServiceKey>>, before: &Configuration) {
    for (address, route) in &before.routes {
        let known = earlier.entry(*address).or_default();
        for (service, _) in &route.services {
            known.retain(|other| other != service);
            known.insert(0, *service);
        }
        known.truncate(EARLIER);
    }
}
