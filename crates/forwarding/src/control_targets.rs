use indexmap::IndexMap;
use usher_types::{DataCentre, Span, Time};

use crate::{CpuCapacity, Fleet, HostDirectory, NodeId, Report};

// Interval of the digests to other data centres; a change of a host's state is sent at once.
const REMOTE_DIGEST_INTERVAL: Span = Span::from_millis(500);
// Interval at which the agents that get hellos are chosen again.
const AGENT_CHOICE_INTERVAL: Span = Span::from_millis(900);
// An agent without a direct report for this long is taken to report to other balancers.
const DIRECT_REPORT_TIMEOUT: Span = Span::from_secs(1);

/// Chooses the receivers of a balancer's hellos and relayed reports.
///
/// Balancers of one data centre exchange hellos and reports directly. Data centres are linked by a
/// few balancers, which relay reports, so that control traffic stays bounded.
#[derive(Debug, Clone)]
pub struct ControlTargets {
    own: NodeId,
    capacity: CpuCapacity,
    centre: DataCentre,
    /// When each agent last reported to this balancer itself.
    last_reports: IndexMap<NodeId, Time>,
    /// Agents that get hellos.
    chosen: Vec<NodeId>,
    chosen_at: Option<Time>,
    /// When the last digest for other data centres was made.
    remote_at: Option<Time>,
}

/// A digest of reports and the balancers that get it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Digest {
    /// Receivers.
    pub to: Vec<NodeId>,
    /// Reports, each with its agent.
    pub reports: Vec<(NodeId, Report)>,
}

impl ControlTargets {
    /// Creates the targets of the balancer `own`.
    ///
    /// ```
    /// use usher_forwarding::{HostDirectory, ControlTargets, Fleet};
    /// use usher_types::Time;
    /// let capacity = "0.05".parse().unwrap();
    /// let mut targets = ControlTargets::new("10.1.0.1".parse()?, capacity, "kolkata".parse()?);
    /// let directory = HostDirectory::new("kolkata".parse()?, Time::ZERO);
    /// assert!(targets.hello_agents(Time::ZERO, &Fleet::default(), &directory).is_empty());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(own: NodeId, capacity: CpuCapacity, centre: DataCentre) -> Self {
        Self {
            own,
            capacity,
            centre,
            last_reports: IndexMap::new(),
            chosen: Vec::new(),
            chosen_at: None,
            remote_at: None,
        }
    }

    /// Records a report that an agent sent to this balancer itself.
    pub fn on_agent_report(&mut self, now: Time, agent: NodeId) {
        if self.last_reports.insert(agent, now).is_none() {
            self.chosen_at = None;
        }
    }

    /// Balancers to send a hello to, and whether each is asked for hellos.
    pub fn hello_balancers(&self, now: Time, fleet: &mut Fleet) -> Vec<(NodeId, bool)> {
        fleet.hello_targets(now, self.own, &self.centre)
    }

    /// Agents to send a hello to at `now`: those that report here, and those that may start to.
    pub fn hello_agents(
        &mut self,
        now: Time,
        fleet: &Fleet,
        directory: &HostDirectory,
    ) -> Vec<NodeId> {
        if self
            .chosen_at
            .is_none_or(|chosen| now - chosen >= AGENT_CHOICE_INTERVAL)
        {
            self.chosen_at = Some(now);
            self.last_reports
                .retain(|_, heard| now - *heard <= DIRECT_REPORT_TIMEOUT);
            let own = (self.own, self.capacity, &self.centre);
            let agents = directory.centres();
            let chosen = agents.filter(|(agent, centre)| {
                self.last_reports.contains_key(agent) || fleet.sends_hello(now, own, *agent, centre)
            });
            self.chosen = chosen.map(|(agent, _)| agent).collect();
        }
        self.chosen.clone()
    }

    /// Digests to send at `now`: within the data centre, then to other data centres.
    pub fn digests(
        &mut self,
        now: Time,
        fleet: &Fleet,
        directory: &mut HostDirectory,
    ) -> [Digest; 2] {
        let local = Digest {
            to: fleet.local_balancers(now, &self.centre),
            reports: directory.local_digest(),
        };
        let mut remote = Digest::default();
        let due = self
            .remote_at
            .is_none_or(|last| now - last >= REMOTE_DIGEST_INTERVAL);
        if due || directory.is_urgent() {
            self.remote_at = Some(now);
            remote.reports = directory.remote_digest();
        }
        if !remote.reports.is_empty() {
            remote.to = fleet.links(now, self.own, &self.centre);
        }
        [local, remote]
    }
}
