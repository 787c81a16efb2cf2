use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use usher_admission::Event as RequestEvent;
use usher_dedupe::LedgerEvent;
use usher_flows::Event as FlowEvent;
use usher_types::{Beat, BeatAck, HostId, HostState, Peer, Roster, Span, Version};

use crate::AgentState;

/// State of the service's other agents, as heartbeats report it.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    // Newest roster version that each host has adopted.
    adopted: HashMap<HostId, Version>,
    // Reported wait of each serving agent; ordered, so that the choice between equal waits is the
    // same in every run.
    waits: BTreeMap<SocketAddrV4, Span>,
}

impl Peers {
    /// Removes the state of hosts and agents that the roster no longer lists.
    pub(crate) fn retain(&mut self, roster: &Roster) {
        self.adopted
            .retain(|host, _| roster.members.contains_key(host));
        let listed = |agent| roster.members.values().any(|member| member.agent == agent);
        self.waits.retain(|agent, _| listed(*agent));
    }

    fn has_adopted(&self, host: &HostId, version: Version) -> bool {
        self.adopted
            .get(host)
            .is_some_and(|adopted| *adopted >= version)
    }
}

impl AgentState {
    pub(crate) fn on_beat(&mut self, from: SocketAddrV4, beat: &Beat) {
        let Peer::Host(host) = &beat.from else { return };
        let Some(view) = &self.view else { return };
        if !view.roster.members.contains_key(host) {
            return;
        }
        self.record_adoption(host.clone(), beat.roster);
        if beat.state == HostState::Serving {
            self.peers.waits.insert(from, beat.wait);
        } else {
            self.peers.waits.remove(&from);
        }
        let waits = self
            .peers
            .waits
            .iter()
            .map(|(agent, wait)| (*agent, *wait))
            .collect();
        self.on_request_event(RequestEvent::Peers(waits));
    }

    pub(crate) fn on_beat_ack(&mut self, ack: BeatAck) {
        if let Peer::Host(host) = &ack.from {
            self.record_adoption(host.clone(), ack.roster);
        }
        self.on_ledger_event(LedgerEvent::Ack(ack));
    }

    fn record_adoption(&mut self, host: HostId, roster: Version) {
        self.on_ledger_event(LedgerEvent::Adopted {
            host: host.clone(),
            roster,
        });
        let known = self.peers.adopted.entry(host).or_default();
        if *known < roster {
            *known = roster;
            self.report_adoption();
        }
    }

    /// Notifies the flow table once every member has adopted the current roster.
    pub(crate) fn report_adoption(&mut self) {
        let Some(view) = &self.view else { return };
        let roster = &view.roster;
        let mut others = roster
            .members
            .keys()
            .filter(|host| **host != self.settings.host);
        if others.all(|host| self.peers.has_adopted(host, roster.version)) {
            let version = roster.version;
            self.on_flow_event(FlowEvent::Adopted(version));
        }
    }
}
