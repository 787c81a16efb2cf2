//! The simulated backend servers, and the heartbeats and rosters of the hosts.

use std::net::SocketAddrV4;

use usher_agent::Event;
use usher_types::{
    Beat, BeatAck, HostState, Member, Message, Outcome, PastRoster, Payload, Peer, RequestId,
    Roster, Span, Time, Version,
};
use usher_wire::encode_message;

use super::Agents;
use super::agents::{BEAT_INTERVAL, Step};
use super::node::{Node, address_index, agent_address, balancer_address};

// A backend server checks for cancellation between the steps of its work.
const CANCEL_DELAY: Span = Span::from_millis(50);
// A call to a failed backend server ends almost at once.
const FAILURE_DELAY: Span = Span::from_millis(1);
const WEIGHT_INTERVAL: Span = Span::from_secs(10);
// Least relative change of a weight that leads to a new roster.
const HYSTERESIS: f64 = 0.1;
// A new roster lists earlier ones that processes may still use.
const MAX_EARLIER_ROSTERS: usize = 8;

impl Agents<'_> {
    pub(super) fn send(&mut self, now: Time, node: usize, to: SocketAddrV4, message: Message) {
        if !matches!(message, Message::Relay(_)) {
            let length = encode_message(&message).map_or(0, |bytes| bytes.len());
            self.result.control[node] += length as u64;
        }
        let at = now + self.site.centre_latency;
        let from = agent_address(node);
        match message {
            Message::Hint(hint) => self.events.add(at, Step::Hint(address_index(to), hint)),
            _ if to.port() != from.port() => {}
            message => self
                .events
                .add(at, Step::Message(address_index(to), from, message)),
        }
    }

    pub(super) fn on_message(
        &mut self,
        now: Time,
        node: usize,
        from: SocketAddrV4,
        message: Message,
    ) {
        let beat = match &message {
            Message::Beat(beat) => Some(beat.sent),
            _ => None,
        };
        self.handle_event(now, node, Event::Message { from, message });
        if let Some(sent) = beat {
            let ack = BeatAck {
                from: Peer::Host(self.nodes[node].host.clone()),
                roster: self.adopted(node),
                revision: Version::new(1),
                sent,
            };
            self.send(now, node, from, Message::BeatAck(ack));
        }
    }

    pub(super) fn beat(&mut self, now: Time, node: usize) {
        self.events.add(now + BEAT_INTERVAL, Step::Beat(node));
        let Some(summary) = self.nodes[node].agent.summary(now) else {
            return;
        };
        let beat = Beat {
            from: Peer::Host(self.nodes[node].host.clone()),
            incarnation: self.nodes[node].incarnation,
            roster: self.adopted(node),
            revision: Version::new(1),
            state: self.nodes[node].state.unwrap_or(HostState::Draining),
            wait: summary.wait,
            weight: summary.weight,
            sent: now,
            suspects: Vec::new(),
        };
        let peers = (0..self.nodes.len()).filter(|peer| *peer != node);
        let balancers = (0..self.hints.len()).map(balancer_address);
        let targets: Vec<_> = peers.map(agent_address).chain(balancers).collect();
        for to in targets {
            self.send(now, node, to, Message::Beat(beat.clone()));
        }
    }

    fn adopted(&self, node: usize) -> Version {
        let view = self.nodes[node].agent.view();
        view.map_or(Version::default(), |view| view.roster.version)
    }

    /// Puts the host's measured weight into the roster if it differs enough.
    pub(super) fn update_weight(&mut self, now: Time, node: usize) {
        self.events
            .add(now + WEIGHT_INTERVAL, Step::UpdateWeight(node));
        let Some(summary) = self.nodes[node].agent.summary(now) else {
            return;
        };
        let weight = self.nodes[node].weight;
        let change = f64::from(summary.weight.get()) / f64::from(weight.get()) - 1.0;
        if change.abs() > HYSTERESIS {
            self.nodes[node].weight = summary.weight;
            self.adopt(now, &self.profile());
        }
    }

    pub(super) fn start_run(&mut self, now: Time, node: usize, id: RequestId, number: usize) {
        let work = self.workload.arrivals[number].work;
        let duration = self.result.hosts[node].duration(now, work);
        let duration = if node < self.options.failed_hosts {
            FAILURE_DELAY
        } else {
            duration
        };
        let end = now + duration;
        self.nodes[node].runs.insert(id, now);
        self.events.add(end, Step::RunEnd(node, id, now));
    }

    pub(super) fn end_run(&mut self, now: Time, node: usize, id: RequestId, started: Time) {
        if self.nodes[node].runs.get(&id) != Some(&started) {
            return;
        }
        self.nodes[node].runs.remove(&id);
        self.result.hosts[node].end(started, now);
        if node < self.options.failed_hosts {
            return self.handle_event(now, node, Event::Lost(id));
        }
        let outcome = Outcome::Answered(Payload::default());
        self.handle_event(now, node, Event::Finished { id, outcome });
    }

    pub(super) fn cancel(&mut self, now: Time, node: usize, id: RequestId) {
        if let Some(started) = self.nodes[node].runs.get(&id) {
            self.events
                .add(now + CANCEL_DELAY, Step::RunEnd(node, id, *started));
        }
    }
}

/// Builds the next roster from the states and weights of the nodes.
pub(super) fn next_roster(current: &Roster, nodes: &[Node]) -> Roster {
    let member = |(index, node): (usize, &Node)| {
        let agent = agent_address(index);
        let mut admin = agent;
        admin.set_port(agent.port() + 1);
        let member = Member {
            incarnation: node.incarnation,
            agent,
            admin,
            centre: "centre-1"
                .parse()
                .unwrap_or_else(|_| unreachable!("a valid name")),
            weight: node.weight,
            state: node.state?,
        };
        Some((node.host.clone(), member))
    };
    let past = PastRoster {
        version: current.version,
        members: current.members.clone(),
    };
    let known = (!current.members.is_empty()).then_some(past);
    let earlier = known.into_iter().chain(current.earlier.iter().cloned());
    Roster {
        version: current.version.next(),
        members: nodes.iter().enumerate().filter_map(member).collect(),
        earlier: earlier.take(MAX_EARLIER_ROSTERS).collect(),
    }
}
