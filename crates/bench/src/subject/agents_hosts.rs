//! Backend servers, heartbeats and rosters.

use std::net::SocketAddrV4;

use usher_agent::Event;
use usher_types::{
    Beat, BeatAck, HostState, Incarnation, Member, Message, Outcome, PastRoster, Payload, Peer,
    RequestId, Roster, Span, Time, Version, Weight,
};
use usher_wire::encode_message;

use super::Agents;
use super::agents::{BEAT, Node, Step, agent_address, balancer_address, node_at};

// A backend server notices a cancellation between two steps of its work.
const CANCEL: Span = Span::from_millis(50);
const WEIGH: Span = Span::from_secs(10);
const HYSTERESIS: f64 = 0.1;
// A write keeps the rosters that may not have settled yet.
const MAX_EARLIER: usize = 2;

impl Agents<'_> {
    pub(super) fn send(&mut self, now: Time, node: usize, to: SocketAddrV4, message: Message) {
        if !matches!(message, Message::Relay(_)) {
            let length = encode_message(&message).map_or(0, |bytes| bytes.len());
            self.tally.control[node] += length as u64;
        }
        let at = now + self.site.inner;
        let from = agent_address(node);
        match message {
            Message::Hint(hint) => self.calendar.add(at, Step::Hint(node_at(to), hint)),
            _ if to.port() != from.port() => {}
            message => self
                .calendar
                .add(at, Step::Message(node_at(to), from, message)),
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
        self.feed(now, node, Event::Message { from, message });
        if let Some(sent) = beat {
            let ack = BeatAck {
                from: Peer::Host(self.nodes[node].host.clone()),
                roster: self.roster.version,
                revision: Version::new(1),
                sent,
            };
            self.send(now, node, from, Message::BeatAck(ack));
        }
    }

    pub(super) fn beat(&mut self, now: Time, node: usize) {
        self.calendar.add(now + BEAT, Step::Beat(node));
        let Some(summary) = self.nodes[node].agent.summary(now) else {
            return;
        };
        let beat = Beat {
            from: Peer::Host(self.nodes[node].host.clone()),
            incarnation: Incarnation::new(1),
            roster: self.roster.version,
            revision: Version::new(1),
            state: HostState::Serving,
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

    /// Puts the host's measured weight into the roster when it differs enough.
    pub(super) fn weigh(&mut self, now: Time, node: usize) {
        self.calendar.add(now + WEIGH, Step::Weigh(node));
        let Some(summary) = self.nodes[node].agent.summary(now) else {
            return;
        };
        let mut weights: Vec<Weight> = self.roster.members.values().map(|m| m.weight).collect();
        let change = f64::from(summary.weight.get()) / f64::from(weights[node].get()) - 1.0;
        if change.abs() > HYSTERESIS {
            weights[node] = summary.weight;
            self.adopt(now, &weights, self.profile());
        }
    }

    pub(super) fn start_run(&mut self, now: Time, node: usize, id: RequestId, number: usize) {
        let work = self.plan.arrivals[number].work;
        let end = now + self.tally.hosts[node].length(now, work);
        self.tally.runs += 1;
        self.nodes[node].runs.insert(id, now);
        self.calendar.add(end, Step::RunEnd(node, id, now));
    }

    pub(super) fn end_run(&mut self, now: Time, node: usize, id: RequestId, started: Time) {
        if self.nodes[node].runs.get(&id) != Some(&started) {
            return;
        }
        self.nodes[node].runs.remove(&id);
        self.tally.hosts[node].end(started, now);
        let outcome = Outcome::Answered(Payload::default());
        self.feed(now, node, Event::Finished { id, outcome });
    }

    pub(super) fn cancel(&mut self, now: Time, node: usize, id: RequestId) {
        if let Some(started) = self.nodes[node].runs.get(&id) {
            self.calendar
                .add(now + CANCEL, Step::RunEnd(node, id, *started));
        }
    }
}

/// The roster after the current one.
pub(super) fn next_roster(current: &Roster, nodes: &[Node], weights: &[Weight]) -> Roster {
    let member = |(index, node): (usize, &Node)| {
        let agent = agent_address(index);
        let mut admin = agent;
        admin.set_port(agent.port() + 1);
        let member = Member {
            incarnation: Incarnation::new(1),
            agent,
            admin,
            centre: "centre-1"
                .parse()
                .unwrap_or_else(|_| unreachable!("a valid name")),
            weight: weights[index],
            state: HostState::Serving,
        };
        (node.host.clone(), member)
    };
    let past = PastRoster {
        version: current.version,
        members: current.members.clone(),
    };
    let known = (!current.members.is_empty()).then_some(past);
    let earlier = known.into_iter().chain(current.earlier.iter().cloned());
    Roster {
        version: current.version.next(),
        members: nodes.iter().enumerate().map(member).collect(),
        earlier: earlier.take(MAX_EARLIER).collect(),
    }
}
