use usher_forwarding::{Digest, HostPage, HostState, NodeId, Report};
use usher_outlier::Standing;
use usher_types::{Span, Time};

use super::state::State;
use crate::event;

// Hosts in one answer to a balancer that has started, some 300 bytes each.
const PAGE_HOSTS: usize = 4_096;

// Reports of agents and what they tell about hosts.
impl State {
    pub(crate) fn on_report(&mut self, now: Time, node: NodeId, report: &Report) {
        let known = self.directory.state(now, node);
        let changed = self.directory.on_direct_report(now, node, report);
        self.targets.on_agent_report(now, node);
        self.publish_change(changed, known, node, report);
    }

    /// Handles reports that a balancer relays.
    pub(crate) fn on_digest(&mut self, now: Time, from: NodeId, digest: &[(NodeId, Report)]) {
        let centre = self.fleet.centre(from).cloned();
        for (node, report) in digest {
            let known = self.directory.state(now, *node);
            let directory = &mut self.directory;
            let changed = directory.on_relayed_report(now, *node, report, centre.as_ref());
            self.publish_change(changed, known, *node, report);
        }
    }

    /// One page of the hosts as JSON, for a balancer that has just started.
    pub(crate) fn host_page(&self, after: NodeId) -> String {
        let page = self
            .directory
            .host_page(usher_clock::now(), after, PAGE_HOSTS);
        serde_json::json!(page).to_string()
    }

    /// Adds hosts that a balancer hands over; the last page completes the start.
    pub(crate) fn merge_hosts(&mut self, from: NodeId, page: &HostPage) {
        let added = self.directory.merge_hosts(usher_clock::now(), page);
        if added > 0 {
            self.publish();
        }
        if !page.more {
            self.start_up.finish();
        }
        event::HOSTS_FETCHED.log(&[
            ("balancer", &from),
            ("hosts", &page.hosts.len()),
            ("new", &added),
            ("more", &page.more),
        ]);
    }

    /// Reports to relay, each digest with its receivers.
    pub(crate) fn digests(&mut self, now: Time) -> [Digest; 2] {
        let directory = &mut self.directory;
        self.targets.digests(now, &self.fleet, directory)
    }

    fn publish_change(
        &mut self,
        changed: bool,
        known: Option<(HostState, Span)>,
        node: NodeId,
        report: &Report,
    ) {
        if !changed {
            return;
        }
        self.publish();
        let before = known.map(|(state, _)| state);
        if before != Some(report.state) {
            let before = before.map_or_else(|| "unknown".to_owned(), |state| state.to_string());
            event::HOST_CHANGED.log(&[
                ("host", &node),
                ("before", &before),
                ("state", &report.state),
                ("service", &report.service),
                ("epoch", &report.epoch),
                ("sequence", &report.sequence),
            ]);
        }
    }

    /// Compares the hosts of each service, and ejects or returns some.
    pub(crate) fn judge_hosts(&mut self, now: Time) {
        let present = self.fleet.present(now);
        let place = present.iter().filter(|node| **node < self.settings.node);
        let (place, balancers) = (place.count(), present.len() + 1);
        let changes = self.directory.judge(now, place, balancers);
        for change in &changes {
            let (host, outcomes) = (change.host, change.outcomes);
            let event = match change.standing {
                Standing::Ejected => event::HOST_EJECTED,
                Standing::Trial => event::HOST_TRIED,
                Standing::Watched => event::HOST_RETURNED,
            };
            event.log(&[
                ("host", &host),
                ("cause", &change.cause),
                ("answered", &outcomes.answered()),
                ("failed", &outcomes.failed()),
                ("work", &change.work),
                ("usual", &change.usual),
            ]);
        }
        if !changes.is_empty() {
            self.publish();
        }
    }
}
