use std::net::SocketAddrV4;

use usher_types::{Body, FlowId, Relay, RelayMode, Time};

use super::FlowTable;
use crate::directory::{Basis, Entry};
use crate::flow::{Flow, StoredFlow};
use crate::{Action, Counter, PACKET_LIFETIME};

// Number of current candidates that a balancer names.
const MAX_CANDIDATES: usize = 3;
const MAX_ROUTE_AGENTS: usize = 6;

impl FlowTable {
    pub(super) fn receive(&mut self, now: Time, relay: Relay) {
        if relay.service != self.settings.service {
            return self.count(Counter::WrongService);
        }
        if relay.generation < self.settings.generation {
            return self.count(Counter::OldGeneration);
        }
        let flow = relay.packet.flow;
        match self.held.get(&flow) {
            Some(StoredFlow::Open(_)) => self.serve(now, relay),
            Some(StoredFlow::Moving(moving)) => {
                let to = moving.to();
                self.forward_direct(to, relay);
            }
            Some(StoredFlow::Tombstone(_)) => self.answer_late(flow, &relay.packet.body),
            None => self.route_unknown(now, relay),
        }
    }

    fn answer_late(&mut self, flow: FlowId, body: &Body) {
        match body {
            Body::Close => self.send(flow, Body::Closed),
            _ => self.count(Counter::LatePacket),
        }
    }

    fn route_unknown(&mut self, now: Time, mut relay: Relay) {
        let flow = relay.packet.flow;
        let is_decided = matches!(relay.mode, RelayMode::Hunt | RelayMode::ProbeDone);
        match self.directory.find(now, &flow) {
            Some(entry) if self.overrides(&entry, &relay) => return self.follow(now, entry, relay),
            _ => {}
        }
        // The current owner repeats a decision that was made under an older roster.
        let is_owner = self.owner_of(&flow) == Some(self.settings.agent);
        if is_decided && !is_owner && relay.roster < self.membership.version() {
            relay.mode = RelayMode::Owner;
        }
        self.decide(now, relay);
    }

    /// Whether a directory entry takes precedence over the mode of a relay.
    ///
    /// An owner probes the earlier owners before it hunts, so its hunt takes precedence
    /// over their `Hunted` entries. The entry of a later owner takes precedence over a late hunt by
    /// an earlier owner, and so does the current owner's entry if an earlier owner hunts in answer
    /// to a probe.
    fn overrides(&self, entry: &Entry, relay: &Relay) -> bool {
        match entry.basis {
            Basis::Confirmed => entry.holder != self.settings.agent,
            Basis::Hunted => {
                let is_owner = self.owner_of(&relay.packet.flow) == Some(self.settings.agent);
                let is_decided_here = is_owner && relay.roster <= self.membership.version();
                relay.mode != RelayMode::Hunt || is_decided_here || relay.roster < entry.roster
            }
            Basis::Probed => relay.mode == RelayMode::Owner && relay.roster < entry.roster,
        }
    }

    fn follow(&mut self, now: Time, entry: Entry, relay: Relay) {
        let flow = relay.packet.flow;
        let is_open = matches!(relay.packet.body, Body::Open);
        match entry.basis {
            Basis::Hunted if is_open && relay.mode != RelayMode::Direct => {
                self.forward_hunt(entry.holder, relay);
            }
            Basis::Probed => {
                // The owner's probe may not have reached the other earlier owners, so keep them
                // in the route.
                let mut relay = relay;
                let index = usize::from(relay.current).min(relay.route.len());
                let mut route = relay.route.split_off(index);
                route.retain(|agent| ![self.settings.agent, entry.holder].contains(agent));
                route.insert(0, entry.holder);
                relay.route = route;
                relay.current = 1;
                relay.hop = 0;
                relay.mode = RelayMode::Owner;
                self.forward(entry.holder, relay);
            }
            Basis::Hunted | Basis::Confirmed => {
                let until = now + self.settings.idle;
                self.directory.touch(&flow, until);
                self.forward_direct(entry.holder, relay);
            }
        }
    }

    fn decide(&mut self, now: Time, relay: Relay) {
        match relay.mode {
            RelayMode::ProbeDone => self.decide_alone(now, relay),
            RelayMode::Hunt => self.decide_hunt(now, relay),
            RelayMode::Probe => self.forward_probe(now, relay),
            // Another agent considers this one the holder; the handover may not have arrived yet.
            RelayMode::Direct if relay.hop > 0 => self.count(Counter::UnknownFlow),
            RelayMode::Owner | RelayMode::Direct => self.decide_owner(now, relay),
        }
    }

    fn decide_owner(&mut self, now: Time, relay: Relay) {
        let is_newer = self.membership.version() > relay.roster;
        let is_hint = relay.mode == RelayMode::Direct;
        let is_open = matches!(relay.packet.body, Body::Open);
        match self.owner_of(&relay.packet.flow) {
            // With equal rosters, the balancer suspects the owner; an `Open` must not wait for it.
            Some(owner) if owner != self.settings.agent && (is_newer || is_hint || !is_open) => {
                self.reroute(owner, relay);
            }
            _ => self.probe(now, relay),
        }
    }

    /// Redirects a relay with an older roster or a stale hint to the bucket's owner.
    fn reroute(&mut self, owner: SocketAddrV4, mut relay: Relay) {
        let flow = relay.packet.flow;
        let mut route = self
            .membership
            .candidates(&flow, self.settings.buckets, MAX_CANDIDATES);
        let current = route.len();
        for agent in relay.route {
            if agent != self.settings.agent
                && !route.contains(&agent)
                && route.len() < MAX_ROUTE_AGENTS
            {
                route.push(agent);
            }
        }
        relay.route = route;
        relay.current = current as u8;
        relay.hop = 0;
        relay.mode = RelayMode::Owner;
        relay.roster = relay.roster.max(self.membership.version());
        self.forward(owner, relay);
    }

    fn probe(&mut self, now: Time, mut relay: Relay) {
        // Earlier owners return the packet to the first agent in the route.
        let own = self.settings.agent;
        relay.roster = relay.roster.max(self.membership.version());
        if relay.route.first() != Some(&own) {
            relay.route.retain(|agent| *agent != own);
            relay.route.insert(0, own);
        }
        // A balancer with a much older roster does not name all earlier owners.
        if !self.membership.is_settled(now, self.settings.settle) {
            let flow = relay.packet.flow;
            let earlier = self.membership.earlier_owners(&flow, self.settings.buckets);
            let from = usize::from(relay.current).max(1);
            for agent in earlier {
                let is_own = agent == self.settings.agent;
                if !is_own && !relay.route[from.min(relay.route.len())..].contains(&agent) {
                    relay.route.push(agent);
                }
            }
        }
        match self.next_earlier_owner(&relay, usize::from(relay.current).max(1)) {
            Some(hop) => self.forward_hop(hop, RelayMode::Probe, relay),
            None => self.decide_alone(now, relay),
        }
    }

    fn forward_probe(&mut self, now: Time, relay: Relay) {
        let Some(owner) = relay.route.first().copied() else {
            return self.count(Counter::UnknownFlow);
        };
        if matches!(relay.packet.body, Body::Open) && owner != self.settings.agent {
            // A stale relay with the same `Open` may arrive here while the owner decides.
            let until = now + PACKET_LIFETIME;
            let flow = relay.packet.flow;
            self.directory
                .set(flow, owner, Basis::Probed, relay.roster, until);
        }
        match self.next_earlier_owner(&relay, usize::from(relay.hop) + 1) {
            Some(hop) => self.forward_hop(hop, RelayMode::Probe, relay),
            None => self.forward_hop(0, RelayMode::ProbeDone, relay),
        }
    }

    /// Index in the route of the next earlier owner that is still a member.
    fn next_earlier_owner(&self, relay: &Relay, from: usize) -> Option<usize> {
        let is_other_member = |agent: SocketAddrV4| {
            agent != self.settings.agent && self.membership.host_at(agent).is_some()
        };
        (from..relay.route.len()).find(|index| is_other_member(relay.route[*index]))
    }

    /// Decides as the bucket's owner about a flow that no earlier owner knows.
    fn decide_alone(&mut self, now: Time, relay: Relay) {
        let flow = relay.packet.flow;
        let is_settled = self.is_settled(now, &relay);
        match &relay.packet.body {
            Body::Open if self.should_hunt(&relay) => self.hunt(now, relay),
            Body::Open => self.accept(now, &relay),
            Body::Close if is_settled => self.send(flow, Body::Closed),
            Body::Segment(_) | Body::Ack { .. } if is_settled => {
                self.count(Counter::Reset);
                self.send(flow, Body::Reset);
            }
            Body::Close | Body::Segment(_) | Body::Ack { .. } => self.count(Counter::UnknownFlow),
            Body::Accept | Body::Closed | Body::Reset => self.count(Counter::Malformed),
        }
    }

    fn is_settled(&self, now: Time, relay: &Relay) -> bool {
        relay.roster <= self.membership.version()
            && self.owner_of(&relay.packet.flow) == Some(self.settings.agent)
            && self.membership.is_settled(now, self.settings.settle)
    }

    fn should_hunt(&self, relay: &Relay) -> bool {
        let busy = self.wait > self.settings.hunt_threshold && self.next_candidate(relay).is_some();
        self.draining || busy
    }

    fn hunt(&mut self, now: Time, relay: Relay) {
        let Some(second) = self.next_candidate(&relay) else {
            return self.count(Counter::NoCandidate);
        };
        // The holder registers well before this entry expires.
        let until = now + PACKET_LIFETIME;
        let flow = relay.packet.flow;
        self.directory
            .set(flow, second, Basis::Hunted, relay.roster, until);
        let next = Self::candidate_after(&relay, second);
        self.directory.set_next_candidate(&flow, next);
        self.count(Counter::Hunted);
        self.forward_hunt(second, relay);
    }

    fn decide_hunt(&mut self, now: Time, relay: Relay) {
        if !matches!(relay.packet.body, Body::Open) {
            return self.count(Counter::UnknownFlow);
        }
        if !self.draining {
            return self.accept(now, &relay);
        }
        match self.next_candidate(&relay) {
            Some(next) => self.forward_hunt(next, relay),
            None => self.count(Counter::NoCandidate),
        }
    }

    /// The current candidate that follows this agent in the route.
    fn next_candidate(&self, relay: &Relay) -> Option<SocketAddrV4> {
        Self::candidate_after(relay, self.settings.agent)
    }

    fn candidate_after(relay: &Relay, agent: SocketAddrV4) -> Option<SocketAddrV4> {
        let current = usize::from(relay.current).min(relay.route.len());
        let candidates = &relay.route[..current];
        let index = candidates.iter().position(|known| *known == agent)?;
        candidates.get(index + 1).copied()
    }

    fn accept(&mut self, now: Time, relay: &Relay) {
        let flow = relay.packet.flow;
        self.directory.remove(&flow);
        self.held.insert(flow, StoredFlow::Open(Flow::new(now)));
        self.start_sweep(now);
        self.count(Counter::Accepted);
        self.send(flow, Body::Accept);
        self.hint(relay);
        self.register_own(now, flow);
    }

    /// Tells the balancer that this agent holds the flow, unless it sent the relay here directly.
    pub(super) fn hint(&mut self, relay: &Relay) {
        if relay.hop > 0 {
            self.actions.push(Action::Hint {
                balancer: relay.balancer,
                hint: usher_types::Hint {
                    flow: relay.packet.flow,
                    holder: self.settings.agent,
                },
            });
        }
    }

    fn forward_hunt(&mut self, to: SocketAddrV4, mut relay: Relay) {
        let index = relay.route.iter().position(|agent| *agent == to);
        let hop = index.unwrap_or(relay.route.len());
        if index.is_none() {
            relay.route.push(to);
        }
        relay.hop = hop as u8;
        relay.mode = RelayMode::Hunt;
        // Only the owner decides under its own roster; a former owner that follows its directory
        // entry keeps the roster version of the relay.
        if self.owner_of(&relay.packet.flow) == Some(self.settings.agent) {
            relay.roster = relay.roster.max(self.membership.version());
        }
        self.forward(to, relay);
    }

    /// Sends a relay to the flow's holder; its route lists the agents visited.
    fn forward_direct(&mut self, to: SocketAddrV4, mut relay: Relay) {
        if relay.mode != RelayMode::Direct || relay.hop == 0 {
            relay.route = vec![self.settings.agent];
            relay.current = 0;
        }
        if relay.route.len() >= MAX_ROUTE_AGENTS {
            return self.count(Counter::HopLimit);
        }
        relay.route.push(to);
        relay.hop = (relay.route.len() - 1) as u8;
        relay.mode = RelayMode::Direct;
        self.forward(to, relay);
    }

    fn forward_hop(&mut self, hop: usize, mode: RelayMode, mut relay: Relay) {
        let to = relay.route[hop];
        relay.hop = hop as u8;
        relay.mode = mode;
        self.forward(to, relay);
    }

    fn forward(&mut self, to: SocketAddrV4, relay: Relay) {
        self.actions.push(Action::Forward { to, relay });
    }

    pub(super) fn owner_of(&self, flow: &FlowId) -> Option<SocketAddrV4> {
        self.membership.owner(flow, self.settings.buckets)
    }
}
