use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{DataCentre, Span, Time};

use super::host_record::HostRecord;
use super::pace::Pace;
use super::view::{HostView, ServiceView, View};
use crate::{Configuration, HostState, NodeId, Report, ServiceKey};

// A host that has been silent for this long is forgotten, if other hosts are heard.
const FORGET: Span = Span::from_secs(30);
// Flows of a host that ended are over for their callers after the longest life of a flow; the
// record keeps late reports of the ended process from reviving it.
const KEEP_ENDED: Span = Span::from_secs(10);

/// The hosts that a balancer knows, from the reports of their agents.
#[derive(Debug, Clone)]
pub struct Directory {
    centre: DataCentre,
    hosts: IndexMap<NodeId, HostRecord>,
    /// Reports for the balancers of this data centre since the last digest.
    inward: IndexMap<NodeId, Report>,
    /// Reports for other data centres since the last digest.
    outward: IndexMap<NodeId, Report>,
    /// Whether one of the reports for other data centres tells more than a load.
    urgent: bool,
    since: Time,
}

impl Directory {
    /// An empty directory of a balancer in a data centre, started at `now`.
    ///
    /// ```
    /// use usher_forwarding::Directory;
    /// use usher_types::Time;
    /// let directory = Directory::new("kolkata".parse()?, Time::ZERO);
    /// assert!(directory.agents().next().is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(centre: DataCentre, now: Time) -> Self {
        Self {
            centre,
            hosts: IndexMap::new(),
            inward: IndexMap::new(),
            outward: IndexMap::new(),
            urgent: false,
            since: now,
        }
    }

    /// Takes a report that its agent sent here; `true` if the view has to be published again.
    ///
    /// It goes into the next digests if its agent reports to few balancers.
    pub fn hear_direct(&mut self, now: Time, node: NodeId, report: &Report) -> bool {
        let changed = self.hear(now, node, report, Pace::Fast);
        if report.few {
            self.inward.insert(node, report.clone());
            self.outward.insert(node, report.clone());
            self.urgent |= changed;
        }
        changed
    }

    /// Takes a report that another balancer relays; `true` if the view has to be published again.
    ///
    /// What comes from another data centre goes into the next digest for this one.
    pub fn hear_relayed(
        &mut self,
        now: Time,
        node: NodeId,
        report: &Report,
        from: Option<&DataCentre>,
    ) -> bool {
        let host = self.hosts.get(&node);
        let overtaken = host.is_some_and(|host| host.overtakes(report));
        if !overtaken && from.is_some_and(|centre| *centre != self.centre) {
            self.inward.insert(node, report.clone());
        }
        let pace = if report.centre == self.centre {
            Pace::Fast
        } else {
            Pace::Slow
        };
        self.hear(now, node, report, pace)
    }

    /// Reports for the other balancers of this data centre, since the last call.
    pub fn inward_digest(&mut self) -> Vec<(NodeId, Report)> {
        self.inward.drain(..).collect()
    }

    /// Whether reports for other data centres tell more than a load, and should not wait.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Reports for other data centres, since the last call.
    pub fn outward_digest(&mut self) -> Vec<(NodeId, Report)> {
        self.urgent = false;
        self.outward.drain(..).collect()
    }

    fn hear(&mut self, now: Time, node: NodeId, report: &Report, pace: Pace) -> bool {
        match self.hosts.get_mut(&node) {
            Some(host) if host.overtakes(report) => false,
            Some(host) => host.update(now, report, pace),
            None => {
                self.hosts.insert(node, HostRecord::new(now, report, pace));
                true
            }
        }
    }

    /// Forgets hosts that are gone; `true` if the view has to be published again.
    ///
    /// When no host has been heard lately, the balancer itself is cut off and nothing is forgotten.
    pub fn expire(&mut self, now: Time) -> bool {
        let Some(latest) = self.hosts.values().map(|host| host.heard).max() else {
            return false;
        };
        let before = self.hosts.len();
        self.hosts.retain(|_, host| {
            let keep = match host.state {
                HostState::Ended => KEEP_ENDED,
                _ => FORGET,
            };
            latest - host.heard < keep
                && (host.state != HostState::Ended || now - host.heard < keep)
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

    /// State and age of what is known of a host.
    pub fn state(&self, now: Time, node: NodeId) -> Option<(HostState, Span)> {
        let host = self.hosts.get(&node)?;
        Some((host.state, now - host.heard))
    }

    /// The view for the traffic thread under a configuration.
    pub fn view(&self, configuration: Arc<Configuration>, previous: &View) -> View {
        let mut services: IndexMap<ServiceKey, ServiceView> = IndexMap::new();
        let mut nodes: Vec<_> = self.hosts.iter().collect();
        nodes.sort_by_key(|(node, _)| **node);
        for (node, host) in nodes {
            let view = services.entry(host.service).or_default();
            view.hosts.push(HostView {
                node: *node,
                near: host.centre == self.centre,
                state: host.state,
                slots: host.slots,
                warm_at: host.warm_at,
                pace: host.pace,
                cell: Arc::clone(&host.cell),
            });
            view.changed = view.changed.max(host.first_heard);
        }
        View::new(self.since, configuration, services, previous)
    }
}
