//! Flow tables connected in memory, with balancers and callers.

mod message;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use usher_flows::{Action, Counter, Event, FlowTable, Inbox, Outbox, Receipt, Settings};
use usher_placement::{bucket_of, rank};
use usher_types::{
    Body, Buckets, FlowId, Generation, HostId, HostState, Incarnation, Member, MessageId, Packet,
    Relay, RelayMode, RequestId, Roster, Sequence, Span, Time, Version, Weight,
};

pub use message::Message;

pub const BUCKETS: Buckets = Buckets::new(64);
pub const GENERATION: Generation = Generation::new(2);
const REQUEST_INTERVAL: Span = Span::from_millis(300);

/// A balancer: the roster versions that it routes by, newest first, and its hints.
#[derive(Debug, Default)]
pub struct Balancer {
    pub rosters: Vec<usize>,
    pub hints: HashMap<FlowId, SocketAddrV4>,
}

/// A caller and its only flow.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag stands for a packet that was sent or received"
)]
#[derive(Debug, Default)]
pub struct Caller {
    pub accepted: bool,
    pub closing: bool,
    pub closed: bool,
    pub reset: bool,
    pub outbox: Outbox,
    pub inbox: Inbox,
    pub sent: BTreeMap<u32, Vec<u8>>,
    pub replies: BTreeMap<u32, Vec<u8>>,
    pub next_message: u32,
    last_request: Time,
}

#[derive(Debug, Default)]
pub struct Network {
    pub now: Time,
    pub tables: Vec<Option<FlowTable>>,
    pub rosters: Vec<Arc<Roster>>,
    pub balancers: Vec<Balancer>,
    pub callers: BTreeMap<FlowId, Caller>,
    pub wire: VecDeque<Message>,
    pub requests: Vec<(usize, RequestId)>,
    pub delivered: BTreeMap<RequestId, u32>,
    pub accepted: BTreeMap<FlowId, u32>,
    pub counters: HashMap<(usize, Counter), u32>,
    pub drained: Vec<usize>,
}

pub fn host(index: usize) -> HostId {
    format!("h{index}").parse().unwrap()
}

pub fn agent(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + index as u16)
}

fn index_of(agent: SocketAddrV4) -> usize {
    usize::from(agent.port() - 7_000)
}

impl Network {
    pub fn start(&mut self, index: usize) {
        let settings = Settings::new(
            "desk".parse().unwrap(),
            GENERATION,
            BUCKETS,
            host(index),
            agent(index),
            Span::from_millis(5),
        );
        let missing = (index + 1).saturating_sub(self.tables.len());
        self.tables.extend((0..missing).map(|_| None));
        self.tables[index] = Some(FlowTable::new(settings));
    }

    /// Adds the next roster version; each member is its host, state and incarnation.
    pub fn add_roster(&mut self, members: &[(usize, HostState, u64)]) {
        let member = |(index, state, incarnation): &(usize, HostState, u64)| {
            let member = Member {
                incarnation: Incarnation::new(*incarnation),
                agent: agent(*index),
                admin: agent(*index),
                centre: "one".parse().unwrap(),
                weight: Weight::NOMINAL,
                state: *state,
            };
            (host(*index), member)
        };
        let version = Version::new(self.rosters.len() as u64 + 1);
        let members = members.iter().map(member).collect();
        self.rosters.push(Arc::new(Roster {
            version,
            members,
            earlier: Vec::new(),
        }));
    }

    /// Serving hosts ranked for a flow's bucket under a roster version.
    pub fn ranked_hosts(&self, version: usize, flow: &FlowId) -> Vec<usize> {
        let members = &self.rosters[version - 1].members;
        let serving = members
            .iter()
            .filter(|(_, member)| member.state == HostState::Serving);
        let key = u64::from(bucket_of(flow, BUCKETS).get());
        let order = rank(key, serving.map(|(host, member)| (host, member.weight)));
        order
            .into_iter()
            .map(|host| index_of(members[host].agent))
            .collect()
    }

    pub fn event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let opened = match &event {
            Event::Relay(relay) => Some(relay.packet.flow),
            _ => None,
        };
        let Some(table) = self.tables.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let mut sender = None;
        if let Event::Handover(transfer) = &event {
            sender = Some(index_of(transfer.from));
        }
        for action in table.handle(now, event) {
            match action {
                Action::Forward { to, relay } => {
                    self.wire.push_back(Message::Relay(index_of(to), relay));
                }
                Action::Send(packet) => self.wire.push_back(Message::Caller(packet)),
                Action::Deliver { id, bytes } => self.deliver(index, id, &bytes),
                Action::Hint { balancer, hint } => {
                    let balancer = usize::from(balancer.port());
                    self.balancers[balancer]
                        .hints
                        .insert(hint.flow, hint.holder);
                }
                Action::Registration { to, registration } => {
                    self.wire.push_back(Message::Registration(
                        index_of(to),
                        agent(index),
                        registration,
                    ));
                }
                Action::RegistrationAck {
                    to,
                    registration_ack,
                } => {
                    self.wire.push_back(Message::RegistrationAck(
                        index_of(to),
                        agent(index),
                        registration_ack,
                    ));
                }
                Action::Handover { host, transfer } => {
                    let name = host.as_str();
                    let to = name[1..].parse().unwrap();
                    self.wire
                        .push_back(Message::Handover(to, host, index, transfer));
                }
                Action::TookOver { flows } => {
                    let to = sender.expect("`TookOver` only answers a handover");
                    self.wire
                        .push_back(Message::TookOver(to, host(index), flows));
                }
                Action::Drained => self.drained.push(index),
                Action::Count(counter) => {
                    *self.counters.entry((index, counter)).or_default() += 1;
                    if counter == Counter::Accepted {
                        *self.accepted.entry(opened.unwrap()).or_default() += 1;
                    }
                }
            }
        }
    }

    fn deliver(&mut self, index: usize, id: RequestId, bytes: &[u8]) {
        assert_eq!(
            &self.callers[&id.flow].sent[&id.message.get()],
            bytes,
            "message {id} differs from what its caller sent"
        );
        *self.delivered.entry(id).or_default() += 1;
        self.requests.push((index, id));
    }

    /// Answers each delivered message with its own bytes.
    pub fn reply_all(&mut self) {
        for (index, id) in std::mem::take(&mut self.requests) {
            self.reply(index, id);
        }
    }

    pub fn reply(&mut self, index: usize, id: RequestId) {
        let bytes = self.callers[&id.flow].sent[&id.message.get()].clone();
        self.event(index, Event::Reply { id, bytes });
    }

    /// Sends a caller's packet through a balancer.
    pub fn inject(&mut self, balancer: usize, flow: FlowId, body: Body) {
        let relay = self.route(balancer, flow, body);
        self.wire
            .push_back(Message::Relay(index_of(relay.route[0]), relay));
    }

    pub fn route(&self, balancer: usize, flow: FlowId, body: Body) -> Relay {
        let routing = &self.balancers[balancer];
        let newest = routing.rosters[0];
        let mut route: Vec<usize> = self
            .ranked_hosts(newest, &flow)
            .into_iter()
            .take(3)
            .collect();
        let mut current = route.len();
        for version in &routing.rosters[1..] {
            let earlier = self.ranked_hosts(*version, &flow).first().copied();
            route.extend(earlier.filter(|owner| !route.contains(owner)));
        }
        let members = &self.rosters[newest - 1].members;
        let draining = members
            .values()
            .filter(|member| member.state == HostState::Draining);
        let draining = draining.map(|member| index_of(member.agent));
        let missing: Vec<usize> = draining.filter(|index| !route.contains(index)).collect();
        route.extend(missing);
        let mut route: Vec<SocketAddrV4> = route.into_iter().map(agent).collect();
        let mut mode = RelayMode::Owner;
        if let Some(holder) = routing.hints.get(&flow)
            && members.values().any(|member| member.agent == *holder)
        {
            current += usize::from(!route[..current].contains(holder));
            route.retain(|agent| agent != holder);
            route.insert(0, *holder);
            mode = RelayMode::Direct;
        }
        Relay {
            service: "desk".parse().unwrap(),
            generation: GENERATION,
            roster: Version::new(newest as u64),
            route,
            current: current as u8,
            hop: 0,
            mode,
            balancer: SocketAddrV4::new(Ipv4Addr::LOCALHOST, balancer as u16),
            packet: Packet {
                flow,
                sequence: Sequence::default(),
                body,
            },
        }
    }

    pub fn message(&mut self, balancer: usize, flow: FlowId, size: usize) {
        let caller = self.callers.get_mut(&flow).unwrap();
        let number = caller.next_message;
        caller.next_message += 1;
        let bytes = vec![number as u8; size];
        caller.sent.insert(number, bytes.clone());
        let segments = caller
            .outbox
            .push(self.now, MessageId::new(number), bytes)
            .unwrap();
        for segment in segments {
            self.inject(balancer, flow, Body::Segment(segment));
        }
    }

    /// Delivers one message to its receiver.
    pub fn arrive(&mut self, balancer: usize, message: Message) {
        match message {
            Message::Relay(to, relay) => self.event(to, Event::Relay(relay)),
            Message::Caller(packet) => self.receive_packet(balancer, packet),
            Message::Registration(to, from, registration) => {
                self.event(to, Event::Registration { from, registration });
            }
            Message::RegistrationAck(to, from, registration_ack) => {
                self.event(
                    to,
                    Event::RegistrationAck {
                        from,
                        registration_ack,
                    },
                );
            }
            Message::Handover(to, host, from, transfer) => {
                if self.tables[to].is_none() {
                    return self.event(from, Event::HandoverFailed { to: host });
                }
                self.event(to, Event::Handover(transfer));
            }
            Message::TookOver(to, host, flows) => {
                self.event(to, Event::HandedOver { to: host, flows });
            }
            Message::Failed(to, host) => self.event(to, Event::HandoverFailed { to: host }),
        }
    }

    /// Drops one message; the sender of a lost handover or answer gets `HandoverFailed`.
    pub fn lose(&mut self, message: Message) {
        match message {
            Message::Handover(_, host, from, _) => self.wire.push_back(Message::Failed(from, host)),
            Message::TookOver(to, host, _) => self.wire.push_back(Message::Failed(to, host)),
            Message::Failed(..) => self.wire.push_back(message),
            _ => {}
        }
    }

    fn receive_packet(&mut self, balancer: usize, packet: Packet) {
        let (now, flow) = (self.now, packet.flow);
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        match packet.body {
            Body::Accept => caller.accepted = true,
            Body::Closed => caller.closed = true,
            Body::Reset => caller.reset = true,
            Body::Ack { message, index } => {
                for segment in caller.outbox.acknowledge(now, message, index) {
                    self.inject(balancer, flow, Body::Segment(segment));
                }
            }
            Body::Segment(segment) => {
                let (message, index) = (segment.message, segment.index);
                let receipt = caller.inbox.accept(segment);
                let is_acknowledged = receipt.is_acknowledged();
                if let Receipt::Complete(bytes) = receipt {
                    assert_eq!(
                        caller.sent[&message.get()],
                        bytes,
                        "reply differs from its request"
                    );
                    assert!(caller.replies.insert(message.get(), bytes).is_none());
                }
                if is_acknowledged {
                    self.inject(balancer, flow, Body::Ack { message, index });
                }
            }
            Body::Open | Body::Close => panic!("an agent sent {:?} to a caller", packet.body),
        }
    }

    /// Advances the clock and runs the due timers of tables and callers.
    pub fn advance(&mut self, balancer: usize, span: Span) {
        self.now = self.now + span;
        let now = self.now;
        for index in 0..self.tables.len() {
            let due = self.tables[index].as_ref().and_then(FlowTable::next_timer);
            if due.is_some_and(|due| due <= now) {
                self.event(index, Event::Tick);
            }
        }
        let flows: Vec<FlowId> = self.callers.keys().copied().collect();
        for flow in flows {
            self.tick_caller(balancer, flow);
        }
    }

    fn tick_caller(&mut self, balancer: usize, flow: FlowId) {
        let now = self.now;
        let caller = self.callers.get_mut(&flow).unwrap();
        if caller.closed || caller.reset {
            return;
        }
        let segments = caller.outbox.tick(now);
        let is_due = now.since(caller.last_request) >= REQUEST_INTERVAL;
        if is_due {
            caller.last_request = now;
        }
        let (accepted, closing) = (caller.accepted, caller.closing);
        if is_due && closing {
            return self.inject(balancer, flow, Body::Close);
        }
        if is_due && !accepted {
            self.inject(balancer, flow, Body::Open);
        }
        for segment in segments {
            self.inject(balancer, flow, Body::Segment(segment));
        }
    }

    /// Delivers messages in order until none is in flight.
    pub fn run(&mut self, balancer: usize) {
        let mut trace = Vec::new();
        for _ in 0..5_000 {
            let Some(message) = self.wire.pop_front() else {
                return;
            };
            trace.push(message.kind());
            self.arrive(balancer, message);
        }
        panic!(
            "messages still circulate after 5000 deliveries, the last ones: {:?}",
            &trace[trace.len() - 20..]
        );
    }

    pub fn held(&self) -> usize {
        self.tables.iter().flatten().map(FlowTable::flows).sum()
    }
}
