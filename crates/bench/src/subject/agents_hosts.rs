//! Backend servers, heartbeats and rosters.

use std::net::SocketAddrV4;

use usher_agent::Event;
use usher_types::{
    Beat, BeatAck, HostState, Member, Message, Outcome, PastRoster, Payload, Peer, RequestId,
    Roster, Span, Time, Version,
};
use usher_wire::encode_message;

use super::Agents;
use super::agents::{BEAT, Step};
use super::node::{Node, agent_address, balancer_address, node_at};

// A backend server notices a cancellation between two steps of its work.
const CANCEL: Span = Span::from_millis(50);
// A connection to a dead backend server ends at once.
const FAULT: Span = Span::from_millis(1);
const WEIGH: Span = Span::from_secs(10);
const HYSTERESIS: f64 = 0.1;
// A write keeps the rosters that may not have settled yet.
const MAX_EARLIER: usize = 8;

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
                roster: self.adopted(node),
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

    /// Puts the host's measured weight into the roster when it differs enough.
    pub(super) fn weigh(&mut self, now: Time, node: usize) {
        self.calendar.add(now + WEIGH, Step::Weigh(node));
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
        let work = self.plan.arrivals[number].work;
        let length = self.tally.hosts[node].length(now, work);
        let length = if node < self.options.down {
            FAULT
        } else {
            length
        };
        let end = now + length;
        self.nodes[node].runs.insert(id, now);
        self.calendar.add(end, Step::RunEnd(node, id, now));
    }

    pub(super) fn end_run(&mut self, now: Time, node: usize, id: RequestId, started: Time) {
        if self.nodes[node].runs.get(&id) != Some(&started) {
            return;
        }
        self.nodes[node].runs.remove(&id);
        self.tally.hosts[node].end(started, now);
        if node < self.options.down {
            return self.feed(now, node, Event::Lost(id));
        }
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

/// The roster after the current one, from what the nodes want to be listed as.
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
        earlier: earlier.take(MAX_EARLIER).collect(),
    }
}
