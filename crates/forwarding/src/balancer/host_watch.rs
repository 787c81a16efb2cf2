use indexmap::{IndexMap, IndexSet};
use usher_outlier::{Change, Observation, Outliers, Standing};
use usher_types::{DataCentre, Span, Time};

use super::host_record::HostRecord;
use crate::{HostState, NodeId, ServiceKey};

// An ejected host on trial gets one new flow in this time, from all balancers together: enough to
// find out within some seconds whether it has recovered.
const TRIAL_INTERVAL: Span = Span::from_millis(500);

/// The hosts of all services, of which those that mislead are ejected.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostWatch {
    services: IndexMap<ServiceKey, Outliers<NodeId>>,
    trial_spacing: Span,
}

impl HostWatch {
    /// Judges all hosts; `place` is this balancer's among `balancers`, which share the trials.
    pub(crate) fn judge(
        &mut self,
        now: Time,
        hosts: &IndexMap<NodeId, HostRecord>,
        evacuated: &IndexSet<DataCentre>,
        (place, balancers): (usize, usize),
    ) -> Vec<Change<NodeId>> {
        let balancers = balancers.max(1);
        self.trial_spacing = TRIAL_INTERVAL * balancers as u64;
        let mut services = observe(hosts, evacuated);
        self.services
            .retain(|service, _| services.contains_key(service));
        let mut changes = Vec::new();
        for (service, seen) in services.drain(..) {
            let outliers = self.services.entry(service).or_default();
            changes.extend(outliers.judge(now, &seen));
        }
        // The first trials of the balancers are spread like later ones.
        let due = now + TRIAL_INTERVAL * place.min(balancers) as u64;
        for change in &changes {
            if change.standing == Standing::Trial
                && let Some(host) = hosts.get(&change.host)
            {
                host.shared_load.record_trial(due - self.trial_spacing);
            }
        }
        changes
    }

    pub(crate) fn standing(&self, service: ServiceKey, node: NodeId) -> Standing {
        let outliers = self.services.get(&service);
        outliers.map_or(Standing::Watched, |outliers| outliers.standing(node))
    }

    pub(crate) fn trial_spacing(&self) -> Span {
        self.trial_spacing
    }

    /// Number of hosts that get no new flows but those of trials.
    pub(crate) fn ejected(&self) -> usize {
        self.services.values().map(Outliers::ejected).sum()
    }
}

fn observe(
    hosts: &IndexMap<NodeId, HostRecord>,
    evacuated: &IndexSet<DataCentre>,
) -> IndexMap<ServiceKey, Vec<Observation<NodeId>>> {
    // Compared with the newest report of any host, as for placements: a balancer that gets no
    // reports finds no host absent.
    let latest = hosts.values().map(|host| host.last_heard).max();
    let latest = latest.unwrap_or_default();
    let mut services: IndexMap<ServiceKey, Vec<_>> = IndexMap::new();
    for (node, host) in hosts {
        let suspected = latest - host.last_heard > host.report_rate.suspect_after();
        let seen = Observation {
            host: *node,
            born: host.born,
            present: host.state == HostState::Serving
                && !suspected
                && !evacuated.contains(&host.centre),
            outcomes: host.outcomes,
            work: host.shared_load.load().mean,
        };
        services.entry(host.service).or_default().push(seen);
    }
    services
}
