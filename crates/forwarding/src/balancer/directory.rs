use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use usher_outlier::{Change, Standing};
use usher_types::{Centres, DataCentre, Span, Time};

use super::fleet_start::FleetStart;
use super::host_record::HostRecord;
use super::host_watch::HostWatch;
use super::report_rate::ReportRate;
use super::view::{HostView, RoutingView, ServiceView};
use crate::{Configuration, HostPage, HostState, KnownHost, NodeId, Report, ServiceKey};

// A silent host is removed after this time, if other hosts are heard.
const REMOVE_AFTER: Span = Span::from_secs(30);
// The record of an ended host is kept so that late reports of the ended process do not make the
// host present again. Its flows are over for their callers after the longest life of a flow.
const ENDED_RETENTION: Span = Span::from_secs(10);

/// The hosts that a balancer knows from the reports of their agents.
#[derive(Debug, Clone)]
pub struct HostDirectory {
    centre: DataCentre,
    hosts: IndexMap<NodeId, HostRecord>,
    /// Reports for the balancers of this data centre since the last digest.
    local: IndexMap<NodeId, Report>,
    /// Reports for other data centres since the last digest.
    remote: IndexMap<NodeId, Report>,
    /// Whether a report for other data centres changes more than the load.
    urgent: bool,
    /// Data centres that take no new flows.
    evacuated: IndexSet<DataCentre>,
    started: Time,
    /// Finds hosts that mislead; `None` unless it is switched on.
    watch: Option<HostWatch>,
    /// The data centres of the deployment; empty if they are not known.
    expected: Centres,
}

impl HostDirectory {
    /// An empty directory of a balancer of `centre` that starts at `now`.
    ///
    /// ```
    /// use usher_forwarding::HostDirectory;
    /// use usher_types::Time;
    /// let directory = HostDirectory::new("kolkata".parse()?, Time::ZERO);
    /// assert!(directory.agents().next().is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(centre: DataCentre, now: Time) -> Self {
        Self {
            centre,
            hosts: IndexMap::new(),
            local: IndexMap::new(),
            remote: IndexMap::new(),
            urgent: false,
            evacuated: IndexSet::new(),
            started: now,
            watch: None,
            expected: Centres::default(),
        }
    }

    /// Names the data centres of the deployment and their regions.
    ///
    /// Evidence of a start of all machines needs them, and so do routes with allowed regions.
    ///
    /// ```
    /// # use usher_forwarding::HostDirectory;
    /// # use usher_types::Time;
    /// let directory = HostDirectory::new("kolkata".parse()?, Time::ZERO);
    /// let directory = directory.expecting("kolkata:bengal,patna:bihar".parse()?);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    #[must_use]
    pub fn expecting(self, expected: Centres) -> Self {
        Self { expected, ..self }
    }

    /// Makes the balancer eject hosts that differ from the others of their service.
    pub fn watch_hosts(&mut self) {
        self.watch = Some(HostWatch::default());
    }

    /// Compares the hosts of each service; to be called a few times a second.
    ///
    /// Returns the hosts that are ejected, tried or returned. If there are any, the view has to be
    /// published again. `place` is the balancer's among `balancers`, which share the trials.
    pub fn judge(&mut self, now: Time, place: usize, balancers: usize) -> Vec<Change<NodeId>> {
        self.watch.as_mut().map_or_else(Vec::new, |watch| {
            watch.judge(now, &self.hosts, &self.evacuated, (place, balancers))
        })
    }

    /// Number of ejected hosts, those on trial included.
    pub fn ejected(&self) -> usize {
        self.watch.as_ref().map_or(0, HostWatch::ejected)
    }

    /// Applies a report from the agent itself.
    ///
    /// Returns `true` if the view has to be published again.
    /// The report goes into the next digests if the agent reports to only a few balancers.
    pub fn on_direct_report(&mut self, now: Time, node: NodeId, report: &Report) -> bool {
        let changed = self.apply_report(now, node, report, ReportRate::Fast);
        if report.relayed {
            self.local.insert(node, report.clone());
            self.remote.insert(node, report.clone());
            self.urgent |= changed;
        }
        changed
    }

    /// Applies a relayed report.
    ///
    /// Returns `true` if the view has to be published again.
    /// `from` is the data centre of the balancer that relays it. A report from another data centre
    /// goes into the next digest for this one.
    pub fn on_relayed_report(
        &mut self,
        now: Time,
        node: NodeId,
        report: &Report,
        from: Option<&DataCentre>,
    ) -> bool {
        let host = self.hosts.get(&node);
        let superseded = host.is_some_and(|host| host.supersedes(report));
        if !superseded && from.is_some_and(|centre| *centre != self.centre) {
            self.local.insert(node, report.clone());
        }
        let report_rate = self.report_rate(report);
        self.apply_report(now, node, report, report_rate)
    }

    /// Reports for the other balancers of this data centre, since the last call.
    pub fn local_digest(&mut self) -> Vec<(NodeId, Report)> {
        self.local.drain(..).collect()
    }

    /// Whether the digest for other data centres must be sent at once.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Reports for other data centres, since the last call.
    pub fn remote_digest(&mut self) -> Vec<(NodeId, Report)> {
        self.urgent = false;
        self.remote.drain(..).collect()
    }

    /// Up to `limit` hosts with addresses above `after`, for a balancer that has just started.
    ///
    /// Pages continue after an address, so that hosts which join or leave between two pages do not
    /// hide others.
    pub fn host_page(&self, now: Time, after: NodeId, limit: usize) -> HostPage {
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.retain(|(node, _)| **node > after);
        hosts.sort_by_key(|(node, _)| **node);
        let more = hosts.len() > limit;
        let page = hosts.into_iter().take(limit);
        let known = page.map(|(node, host)| KnownHost {
            agent: *node,
            report: host.report(now),
            age: now - host.last_heard,
        });
        HostPage {
            hosts: known.collect(),
            more,
        }
    }

    /// Adds what another balancer knows about hosts; returns the number of new ones.
    ///
    /// A report that this balancer has is replaced only by a later one.
    pub fn merge_hosts(&mut self, now: Time, page: &HostPage) -> usize {
        let before = self.hosts.len();
        for KnownHost { agent, report, age } in &page.hosts {
            let heard = now - *age;
            let report_rate = self.report_rate(report);
            let (uptime, running) = (report.uptime + *age, now - self.started);
            match self.hosts.get_mut(agent) {
                Some(host) if host.supersedes(report) => {}
                // The report of another process of the agent, an earlier one.
                Some(host) if host.epoch != report.epoch && host.last_heard >= heard => {}
                Some(host) => {
                    host.update(heard, report, report_rate);
                    host.note_uptime(uptime, running);
                }
                None => {
                    let mut host = HostRecord::new(heard, report, report_rate);
                    host.first_heard = now;
                    host.warm_at = now + report.warmup;
                    host.note_uptime(uptime, running);
                    self.hosts.insert(*agent, host);
                }
            }
        }
        self.hosts.len() - before
    }

    fn report_rate(&self, report: &Report) -> ReportRate {
        if report.centre == self.centre {
            ReportRate::Fast
        } else {
            ReportRate::Slow
        }
    }

    fn apply_report(
        &mut self,
        now: Time,
        node: NodeId,
        report: &Report,
        report_rate: ReportRate,
    ) -> bool {
        let running = now - self.started;
        match self.hosts.get_mut(&node) {
            Some(host) if host.supersedes(report) => false,
            Some(host) => {
                let (before, changed) = (host.head_start, host.update(now, report, report_rate));
                host.note_uptime(report.uptime, running);
                changed || FleetStart::differs(before, host.head_start)
            }
            None => {
                let mut host = HostRecord::new(now, report, report_rate);
                host.note_uptime(report.uptime, running);
                self.hosts.insert(node, host);
                true
            }
        }
    }

    /// Removes hosts that are gone; `true` if the view has to be published again.
    ///
    /// If no host has been heard lately, the balancer itself is cut off, and it keeps silent hosts.
    pub fn expire(&mut self, now: Time) -> bool {
        let Some(latest) = self.hosts.values().map(|host| host.last_heard).max() else {
            return false;
        };
        let before = self.hosts.len();
        self.hosts.retain(|_, host| {
            let keep = match host.state {
                HostState::Ended => ENDED_RETENTION,
                _ => REMOVE_AFTER,
            };
            latest - host.last_heard < keep
                && (host.state != HostState::Ended || now - host.last_heard < keep)
        });
        self.hosts.len() != before
    }

    /// Agents in the directory.
    pub fn agents(&self) -> impl Iterator<Item = NodeId> {
        self.hosts.keys().copied()
    }

    /// Agents with the data centres of their hosts.
    pub fn centres(&self) -> impl Iterator<Item = (NodeId, &DataCentre)> {
        self.hosts.iter().map(|(node, host)| (*node, &host.centre))
    }

    /// State of a host and the age of its last report.
    pub fn state(&self, now: Time, node: NodeId) -> Option<(HostState, Span)> {
        let host = self.hosts.get(&node)?;
        Some((host.state, now - host.last_heard))
    }

    /// Replaces the data centres that take no new flows.
    pub fn set_evacuated(&mut self, centres: impl IntoIterator<Item = DataCentre>) {
        self.evacuated = centres.into_iter().collect();
    }

    /// Whether the reports show that all machines have started together.
    pub fn fleet_start(&self) -> FleetStart {
        FleetStart::of(&self.expected, self.hosts.values())
    }

    /// Builds the view for the traffic thread.
    pub fn view(&self, configuration: Arc<Configuration>, previous: &RoutingView) -> RoutingView {
        let trial_ranks = self.trial_ranks(&configuration);
        let mut services: IndexMap<ServiceKey, ServiceView> = IndexMap::new();
        let mut nodes: Vec<_> = self.hosts.iter().collect();
        nodes.sort_by_key(|(node, _)| **node);
        let mut centres = IndexSet::new();
        for (node, host) in nodes {
            let (centre, _) = centres.insert_full(&host.centre);
            let view = services.entry(host.service).or_default();
            view.hosts.push(HostView {
                node: *node,
                same_centre: host.centre == self.centre,
                centre: u16::try_from(centre).unwrap_or(u16::MAX),
                region: self.expected.region(&host.centre).cloned(),
                evacuated: self.evacuated.contains(&host.centre),
                state: host.state,
                complete: host.complete,
                slots: host.slots,
                warm_at: host.warm_at,
                cold_rate: configuration.cold_rate(host.service),
                standing: self.standing(host.service, *node),
                trial_spacing: self
                    .watch
                    .as_ref()
                    .map_or(Span::ZERO, HostWatch::trial_spacing),
                trial_rank: trial_ranks.get(&host.service).copied().unwrap_or(0),
                report_rate: host.report_rate,
                shared_load: Arc::clone(&host.shared_load),
            });
            view.last_joined = view.last_joined.max(host.first_heard);
        }
        let fleet_start = self.fleet_start();
        let view = RoutingView::new(self.started, configuration, services, previous);
        RoutingView {
            fleet_start,
            complete: self.hosts.values().all(|host| host.complete),
            ..view
        }
    }

    // The least urgent rank of each service while hosts are ejected.
    fn trial_ranks(&self, configuration: &Configuration) -> IndexMap<ServiceKey, u8> {
        let mut ranks = IndexMap::new();
        if self.ejected() == 0 {
            return ranks;
        }
        for route in configuration.routes.values() {
            for (service, _) in &route.services {
                let rank = ranks.entry(*service).or_insert(route.rank);
                *rank = route.rank.max(*rank);
            }
        }
        ranks
    }

    fn standing(&self, service: ServiceKey, node: NodeId) -> Standing {
        let watch = self.watch.as_ref();
        watch.map_or(Standing::Watched, |watch| watch.standing(service, node))
    }
}
