use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{DataCentre, Span, Time};

use super::host_record::HostRecord;
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
    /// Reports that agents sent here since the last digest.
    direct: IndexMap<NodeId, Report>,
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
            direct: IndexMap::new(),
            since: now,
        }
    }

    /// Takes a report that its agent sent here; it goes into the next digest. `true` if the view
    /// has to be published again.
    pub fn hear_direct(&mut self, now: Time, node: NodeId, report: &Report) -> bool {
        self.direct.insert(node, report.clone());
        self.hear(now, node, report)
    }

    /// The reports that agents sent here since the last call.
    pub fn digest(&mut self) -> Vec<(NodeId, Report)> {
        self.direct.drain(..).collect()
    }

    /// Takes a report; `true` if the view has to be published again.
    pub fn hear(&mut self, now: Time, node: NodeId, report: &Report) -> bool {
        match self.hosts.get_mut(&node) {
            Some(host) if host.overtakes(report) => false,
            Some(host) => host.update(now, report),
            None => {
                self.hosts.insert(node, HostRecord::new(now, report));
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
                cell: Arc::clone(&host.cell),
            });
            view.changed = view.changed.max(host.first_heard);
        }
        View::new(self.since, configuration, services, previous)
    }
}
