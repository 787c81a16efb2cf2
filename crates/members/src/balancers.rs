use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use usher_placement::{key_of, rank};
use usher_types::{DataCentre, Fleet, HostId, InstanceId, Weight};

use crate::Identity;

/// Balancers that receive the heartbeats of one host.
const HOST_RECEIVERS: usize = 3;
/// Balancers that receive the heartbeats of one balancer; bounds its control traffic.
const BALANCER_RECEIVERS: usize = 16;

/// The known fleets, and which balancers receive the heartbeats of a host or balancer.
#[derive(Debug, Default)]
pub(crate) struct Balancers {
    fleets: IndexMap<DataCentre, Arc<Fleet>>,
    candidates: IndexMap<DataCentre, Vec<HostId>>,
}

impl Balancers {
    /// Stores a fleet; false if a newer version is known.
    pub(crate) fn adopt(&mut self, centre: &DataCentre, fleet: Arc<Fleet>) -> bool {
        let known = self.fleets.get(centre);
        if known.is_some_and(|known| known.version > fleet.version) {
            return false;
        }
        // Instances and hosts follow the same naming rule, so every instance name parses.
        let names = fleet.balancers.keys().map(InstanceId::as_str);
        let names = names.filter_map(|name| name.parse().ok()).collect();
        self.candidates.insert(centre.clone(), names);
        self.fleets.insert(centre.clone(), fleet);
        true
    }

    /// Addresses of the balancers that receive the heartbeats of a host.
    pub(crate) fn host_receivers(&self, centre: &DataCentre, host: &HostId) -> Vec<SocketAddrV4> {
        let chosen = self.chosen(centre, host.as_str(), HOST_RECEIVERS);
        chosen
            .into_iter()
            .filter_map(|name| self.address(centre, name))
            .collect()
    }

    /// Whether a process receives a host's heartbeats directly.
    pub(crate) fn receives(&self, by: &Identity, centre: &DataCentre, host: &HostId) -> bool {
        match by {
            Identity::Agent { .. } => true,
            Identity::Balancer {
                instance,
                centre: own,
                ..
            } => own == centre && self.is_chosen(centre, instance, host),
        }
    }

    fn is_chosen(&self, centre: &DataCentre, instance: &InstanceId, host: &HostId) -> bool {
        let chosen = self.chosen(centre, host.as_str(), HOST_RECEIVERS);
        chosen.iter().any(|name| name.as_str() == instance.as_str())
    }

    /// The balancers of its data centre that a balancer sends heartbeats to, in rendezvous order.
    pub(crate) fn receivers(&self, centre: &DataCentre, instance: &InstanceId) -> Vec<InstanceId> {
        let names = self.chosen(centre, instance.as_str(), BALANCER_RECEIVERS + 1);
        let others = names
            .into_iter()
            .filter(|name| name.as_str() != instance.as_str());
        others
            .take(BALANCER_RECEIVERS)
            .filter_map(|name| name.as_str().parse().ok())
            .collect()
    }

    /// Control address of a balancer.
    pub(crate) fn control(&self, centre: &DataCentre, name: &InstanceId) -> Option<SocketAddrV4> {
        let fleet = self.fleets.get(centre)?;
        fleet.balancers.get(name).map(|known| known.control)
    }

    fn chosen(&self, centre: &DataCentre, key: &str, count: usize) -> Vec<&HostId> {
        let names = self.candidates.get(centre).map_or(&[][..], Vec::as_slice);
        let members = names.iter().map(|name| (name, Weight::NOMINAL));
        let mut order = rank(key_of(key), members);
        order.truncate(count);
        order
    }

    fn address(&self, centre: &DataCentre, name: &HostId) -> Option<SocketAddrV4> {
        let instance: InstanceId = name.as_str().parse().ok()?;
        self.control(centre, &instance)
    }
}
