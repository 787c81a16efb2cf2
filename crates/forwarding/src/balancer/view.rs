use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use usher_outlier::Standing;
use usher_types::{ColdRate, Region, Slots, Span, Time};

use super::fleet_start::FleetStart;
use super::report_rate::ReportRate;
use super::shared_load::SharedLoad;
use crate::{
    AllowedRegions, Configuration, ConfigurationVersion, HostState, NodeId, Route, ServiceKey,
};

// How long after its start a balancer uses evidence of a start of all machines: callers give up all
// requests from before the start within 10 s of it.
const EVIDENCE_LIFE: Span = Span::from_secs(30);
// Time that hosts have to report after a start of all machines: as `StartUp` allows without a balancer
// that knows all hosts.
const JOINT_COLLECT_TIME: Span = Span::from_millis(1_500);
// Time since the last join after a start of all machines. Balancers hear of a new host within two
// digests between data centres, which come every 500 ms.
const JOINT_SETTLE_TIME: Span = Span::from_secs(1);
// An agent that has heard no heartbeat and is silent for longer than reports from other data centres
// take has ended with its machine.
const ABSENT_AFTER: Span = Span::from_millis(1_500);
// Earlier services remembered per route; they may still hold flows of the route.
const MAX_EARLIER_SERVICES: usize = 4;

// A host on trial gets a more urgent flow if no other has come for this multiple of the spacing.
const OTHER_RANK_FACTOR: u64 = 4;

/// Immutable snapshot for the decisions of a balancer's traffic thread.
///
/// The control thread replaces it as a whole.
#[derive(Debug, Default)]
pub struct RoutingView {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) services: IndexMap<ServiceKey, ServiceView>,
    /// Earlier services of each route by its address, latest first.
    pub(crate) earlier: IndexMap<SocketAddrV4, Vec<ServiceKey>>,
    pub(crate) started: Time,
    pub(crate) fleet_start: FleetStart,
    /// All agents know the flows of their hosts.
    pub(crate) complete: bool,
}

/// The hosts of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceView {
    /// Sorted by address.
    pub(crate) hosts: Vec<HostView>,
    /// When the newest host was first heard.
    pub(crate) last_joined: Time,
}

impl ServiceView {
    /// Whether hosts serve, all of them in evacuated data centres.
    fn is_evacuated(&self) -> bool {
        let hosts = self.hosts.iter();
        let mut serving = hosts.filter(|host| host.state == HostState::Serving);
        let first = serving.next();
        first.is_some_and(|host| host.evacuated) && serving.all(|host| host.evacuated)
    }
}

/// One host, as the traffic thread sees it.
#[derive(Debug, Clone)]
pub(crate) struct HostView {
    pub(crate) node: NodeId,
    /// Whether it is in the balancer's data centre.
    pub(crate) same_centre: bool,
    /// Index of its data centre in this view.
    pub(crate) centre: u16,
    /// Region of its data centre, if it is known.
    pub(crate) region: Option<Region>,
    /// Whether its data centre takes no new flows.
    pub(crate) evacuated: bool,
    pub(crate) state: HostState,
    /// The agent knows all flows of its host.
    pub(crate) complete: bool,
    pub(crate) slots: Slots,
    pub(crate) warm_at: Time,
    pub(crate) cold_rate: ColdRate,
    pub(crate) standing: Standing,
    /// Time between two flows to the host while it is on trial.
    pub(crate) trial_spacing: Span,
    /// Rank of the flows that it gets then: the least urgent of its service.
    pub(crate) trial_rank: u8,
    pub(crate) report_rate: ReportRate,
    pub(crate) shared_load: Arc<SharedLoad>,
}

impl HostView {
    /// Whether the host takes a limited number of requests at `now`, since it is cold.
    pub(crate) fn is_limited(&self, now: Time) -> bool {
        self.warm_at > now && self.cold_rate != ColdRate::NONE
    }

    /// Whether the host is on trial and gets a flow of this rank at `now`.
    pub(crate) fn is_trial_due(&self, now: Time, rank: u8) -> bool {
        let spacing = if rank >= self.trial_rank {
            self.trial_spacing
        } else {
            self.trial_spacing * OTHER_RANK_FACTOR
        };
        self.standing == Standing::Trial && now - self.shared_load.tried_at() >= spacing
    }

    /// Whether the agent is heard.
    fn is_fresh(&self, now: Time) -> bool {
        now - self.shared_load.reported_at() < self.report_rate.fresh_for()
    }

    /// Whether no backend server runs: its agent says so, or has ended before it heard of one.
    fn is_absent(&self, now: Time) -> bool {
        let silent = now - self.shared_load.reported_at();
        (self.complete && self.is_fresh(now)) || silent >= ABSENT_AFTER
    }

    /// Whether the last report is much older than `latest`, the newest one of any host.
    ///
    /// So a balancer that gets no reports suspects no host.
    pub(crate) fn is_suspected(&self, latest: Time) -> bool {
        latest - self.shared_load.reported_at() > self.report_rate.suspect_after()
    }

    /// Whether a report is overdue, compared with `latest` as for [`Self::is_suspected`].
    pub(crate) fn is_late(&self, latest: Time) -> bool {
        latest - self.shared_load.reported_at() > self.report_rate.late_after()
    }

    /// Whether a slot is free by the last report and the flows placed since.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.shared_load.load().working < self.slots.get()
    }
}

impl RoutingView {
    pub(crate) fn new(
        started: Time,
        configuration: Arc<Configuration>,
        services: IndexMap<ServiceKey, ServiceView>,
        previous: &Self,
    ) -> Self {
        let mut earlier = previous.earlier.clone();
        if configuration.version != previous.configuration.version {
            record_earlier(&mut earlier, &previous.configuration);
            earlier.retain(|address, _| configuration.routes.contains_key(address));
        }
        Self {
            configuration,
            services,
            earlier,
            started,
            fleet_start: FleetStart::Unknown,
            complete: false,
        }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// What the reports of the agents show about the start of the machines.
    pub fn fleet_start(&self) -> FleetStart {
        self.fleet_start
    }

    /// Whether all agents know the flows of their hosts.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether any configuration is in force.
    pub(crate) fn is_configured(&self) -> bool {
        self.version() > ConfigurationVersion::default()
    }

    pub(crate) fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.configuration.routes.get(address)
    }

    pub(crate) fn hosts(&self, service: ServiceKey) -> &[HostView] {
        self.services
            .get(&service)
            .map_or(&[], |view| view.hosts.as_slice())
    }

    /// Services whose serving hosts are all in evacuated data centres.
    pub fn evacuated_services(&self) -> impl Iterator<Item = ServiceKey> {
        let services = self.services.iter();
        services.filter_map(|(service, view)| view.is_evacuated().then_some(*service))
    }

    /// Whether a service has serving hosts, all of them in evacuated data centres, and no other host
    /// that may serve soon.
    pub(crate) fn awaits_no_host(&self, service: ServiceKey) -> bool {
        self.services.get(&service).is_some_and(|view| {
            let hosts = &mut view.hosts.iter();
            view.is_evacuated() && hosts.all(|host| host.state != HostState::Unheard)
        })
    }

    /// Whether a service has serving hosts, and no host at all that a route may reach.
    pub(crate) fn has_no_allowed_host(
        &self,
        service: ServiceKey,
        regions: &AllowedRegions,
    ) -> bool {
        let hosts = self.hosts(service).iter();
        let mut present = hosts.filter(|host| host.state != HostState::Ended);
        let mut serving = present.clone().map(|host| host.state);
        serving.any(|state| state == HostState::Serving)
            && !present.any(|host| regions.allows(host.region.as_ref()))
    }

    /// Number of agents, those of ended hosts included.
    pub(crate) fn agent_count(&self) -> usize {
        self.services.values().map(|view| view.hosts.len()).sum()
    }

    /// Time of the newest report of any host.
    pub(crate) fn latest_report(&self) -> Time {
        let hosts = self.services.values().flat_map(|view| &view.hosts);
        let reported = hosts.map(|host| host.shared_load.reported_at());
        reported.max().unwrap_or_default()
    }

    /// Services that may hold flows of a route: current ones, earlier ones, then all others.
    pub(crate) fn holders(&self, address: &SocketAddrV4) -> impl Iterator<Item = ServiceKey> {
        let route = self.route(address);
        let current = route.into_iter().flat_map(|route| &route.services);
        let earlier = self.earlier.get(address).into_iter().flatten();
        let listed = current.map(|(service, _)| *service).chain(earlier.copied());
        listed.chain(self.services.keys().copied())
    }

    /// Whether all hosts that could hold a flow are known.
    ///
    /// All hosts must be heard, and the balancer's start and the last join of a host must be at
    /// least `settle` ago.
    pub(crate) fn is_settled(&self, now: Time, settle: Span) -> bool {
        self.is_settled_after(now, settle, settle, false)
    }

    /// Whether all machines have started with this balancer, not long ago.
    pub fn started_together(&self, now: Time) -> bool {
        self.fleet_start == FleetStart::Together && self.may_show_start(now)
    }

    /// Whether evidence of a start of all machines counts, or will if it comes now.
    pub(crate) fn may_show_start(&self, now: Time) -> bool {
        now - self.started < EVIDENCE_LIFE
    }

    /// Whether a host runs no backend server that could hold a flow, after a start of all machines.
    ///
    /// `latest` is the time of the newest report of any host.
    pub(crate) fn is_known_absent(&self, latest: Time, host: &HostView) -> bool {
        host.state == HostState::Unheard && self.started_together(latest) && host.is_absent(latest)
    }

    /// As [`Self::is_settled`], after a start of all machines; `false` without evidence of one.
    pub fn is_jointly_settled(&self, now: Time) -> bool {
        self.started_together(now)
            && self.is_settled_after(now, JOINT_COLLECT_TIME, JOINT_SETTLE_TIME, true)
    }

    // With `together`, a host whose backend server has sent no heartbeat may be absent.
    fn is_settled_after(
        &self,
        now: Time,
        since_start: Span,
        since_join: Span,
        together: bool,
    ) -> bool {
        let mut hosts = self.services.values().flat_map(|view| &view.hosts);
        let joined = self.services.values().map(|view| view.last_joined).max();
        now - self.started >= since_start
            && joined.is_some_and(|joined| now - joined >= since_join)
            && hosts.all(|host| match host.state {
                HostState::Ended => true,
                HostState::Unheard => together && host.is_absent(now),
                _ => host.is_fresh(now),
            })
    }
}

fn record_earlier(earlier: &mut IndexMap<SocketAddrV4, Vec<ServiceKey>>, before: &Configuration) {
    for (address, route) in &before.routes {
        let known = earlier.entry(*address).or_default();
        for (service, _) in &route.services {
            known.retain(|other| other != service);
            known.insert(0, *service);
        }
        known.truncate(MAX_EARLIER_SERVICES);
    }
}
