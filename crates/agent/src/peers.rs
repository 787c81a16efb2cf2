use std::collections::HashMap;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_admission::Event as RequestEvent;
use usher_dedupe::LedgerEvent;
use usher_flows::Event as FlowEvent;
use usher_types::{Beat, BeatAck, HostId, HostState, Peer, Roster, Span, Version};

use crate::AgentState;

/// What heartbeats say of the other agents of the service.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    adopted: HashMap<HostId, Version>,
    // In a fixed order, so that equal inputs give equal choices between equal waits.
    waits: IndexMap<SocketAddrV4, Span>,
}

impl Peers {
    /// Discards agents that a roster no longer lists.
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
        self.adopt(host.clone(), beat.roster);
        if beat.state == HostState::Serving {
            self.peers.waits.insert(from, beat.wait);
        } else {
            self.peers.waits.swap_remove(&from);
        }
        let waits = self
            .peers
            .waits
            .iter()
            .map(|(agent, wait)| (*agent, *wait))
            .collect();
        self.scheduler(RequestEvent::Peers(waits));
    }

    pub(crate) fn on_beat_ack(&mut self, ack: BeatAck) {
        if let Peer::Host(host) = &ack.from {
            self.adopt(host.clone(), ack.roster);
        }
        self.ledger(LedgerEvent::Ack(ack));
    }

    fn adopt(&mut self, host: HostId, roster: Version) {
        self.ledger(LedgerEvent::Adopted {
            host: host.clone(),
            roster,
        });
        let known = self.peers.adopted.entry(host).or_default();
        if *known < roster {
            *known = roster;
            self.note_adoption();
        }
    }

    /// Tells the flow table when every member has adopted the current roster.
    pub(crate) fn note_adoption(&mut self) {
        let Some(view) = &self.view else { return };
        let roster = &view.roster;
        let mut others = roster
            .members
            .keys()
            .filter(|host| **host != self.settings.host);
        if others.all(|host| self.peers.has_adopted(host, roster.version)) {
            let version = roster.version;
            self.flows(FlowEvent::Adopted(version));
        }
    }
}
