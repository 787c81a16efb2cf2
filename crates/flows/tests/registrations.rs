//! How soon the owners of buckets hear of flows that other agents hold.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use usher_flows::{Action, Event, FlowTable, Settings};
use usher_placement::{bucket_of, highest_ranked};
use usher_types::{
    Body, Buckets, FlowId, Generation, HostId, HostState, Incarnation, Member, MessageId, Packet,
    Registration, RegistrationAck, Relay, RelayMode, Roster, Sequence, Span, Time, Version, Weight,
};

const BUCKETS: Buckets = Buckets::new(64);
const GENERATION: Generation = Generation::new(1);
const TICK: Span = Span::from_millis(100);
// The host that holds the flows and the one that owns their buckets.
const HOLDER: u16 = 0;
const OWNER: u16 = 1;

fn host(index: u16) -> HostId {
    format!("h{index}").parse().unwrap()
}

fn agent(index: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + index)
}

fn settings(index: u16) -> Settings {
    Settings::new(
        "desk".parse().unwrap(),
        GENERATION,
        BUCKETS,
        host(index),
        agent(index),
        Span::from_millis(5),
    )
}

fn roster(version: u64) -> Event {
    let members = [HOLDER, OWNER].map(|index| {
        let member = Member {
            incarnation: Incarnation::new(1),
            agent: agent(index),
            admin: agent(index),
            centre: "one".parse().unwrap(),
            weight: Weight::NOMINAL,
            state: HostState::Serving,
        };
        (host(index), member)
    });
    Event::Roster(Arc::new(Roster {
        version: Version::new(version),
        members: members.into_iter().collect(),
        earlier: Vec::new(),
    }))
}

fn flows_of_owner() -> impl Iterator<Item = FlowId> {
    let names = [HOLDER, OWNER].map(host);
    let all = (0..u32::MAX).map(|number| -> FlowId {
        let (high, low) = (number / 256, number % 256);
        let text = format!("10.0.{high}.{low}:4000>192.0.2.1:80#7");
        text.parse().unwrap()
    });
    all.filter(move |flow| {
        let key = u64::from(bucket_of(flow, BUCKETS).get());
        let members = names.iter().map(|name| (name, Weight::NOMINAL));
        highest_ranked(key, members) == Some(&names[usize::from(OWNER)])
    })
}

fn relay(flow: FlowId, mode: RelayMode, route: &[u16], body: Body) -> Event {
    Event::Relay(Relay {
        service: "desk".parse().unwrap(),
        generation: GENERATION,
        roster: Version::new(1),
        route: route.iter().copied().map(agent).collect(),
        current: route.len() as u8,
        hop: route.len() as u8 - 1,
        mode,
        balancer: agent(9),
        packet: Packet {
            flow,
            sequence: Sequence::default(),
            body,
        },
    })
}

// The owner is busy and forwards the opening packet.
fn forwarded_opening(flow: FlowId) -> Event {
    relay(flow, RelayMode::Hunt, &[OWNER, HOLDER], Body::Open)
}

fn acknowledgement(flow: FlowId) -> Event {
    let body = Body::Ack {
        message: MessageId::new(1),
        index: 0,
    };
    relay(flow, RelayMode::Owner, &[OWNER], body)
}

struct Holder {
    table: FlowTable,
    /// Time after which an owner resets flows that it does not know.
    settle: Span,
    now: Time,
    version: u64,
    /// Flows registered again after they were accepted.
    registered: HashSet<FlowId>,
}

impl Holder {
    fn new(flows: usize) -> Self {
        let settings = settings(HOLDER);
        let mut holder = Self {
            settle: settings.settle,
            table: FlowTable::new(settings),
            now: Time::ZERO,
            version: 0,
            registered: HashSet::new(),
        };
        holder.change_roster();
        for flow in flows_of_owner().take(flows) {
            holder.handle(forwarded_opening(flow));
        }
        holder.registered.clear();
        holder
    }

    fn change_roster(&mut self) {
        self.version += 1;
        self.handle(roster(self.version));
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(Event::Tick);
        }
    }

    // The owner acknowledges each registration at once.
    fn handle(&mut self, event: Event) {
        for action in self.table.handle(self.now, event) {
            if let Action::Registration { to, registration } = action {
                let Registration { flow, holder, .. } = registration;
                self.registered.insert(flow);
                let registration_ack = RegistrationAck { flow, holder };
                let from = to;
                self.handle(Event::RegistrationAck {
                    from,
                    registration_ack,
                });
            }
        }
    }
}

/// Guards against flows that no owner hears of while a rollout changes the roster again and again.
#[test]
fn every_flow_registers_while_the_roster_keeps_changing() {
    let mut holder = Holder::new(1_000);
    for _ in 0..10 {
        holder.change_roster();
        holder.run(Span::from_secs(1));
    }
    assert_eq!(holder.registered.len(), 1_000);
}

/// Guards against a reset of an open flow whose holder has more flows than it registers in time.
#[test]
fn every_flow_registers_well_before_owners_reset_unknown_flows() {
    let mut holder = Holder::new(5_000);
    holder.change_roster();
    holder.run(holder.settle.scale(0.5));
    assert_eq!(holder.registered.len(), 5_000);
}

/// Guards against a reset of an open flow by a restarted owner that has not heard of it yet.
#[test]
fn a_restarted_owner_resets_no_flow_that_another_host_holds() {
    let mut holder = Holder::new(5_000);
    let mut owner = FlowTable::new(settings(OWNER));
    holder.change_roster();
    owner.handle(holder.now, roster(2));
    owner.handle(holder.now, Event::Adopted(Version::new(2)));
    holder.run(holder.settle);
    for flow in &holder.registered {
        let registration = Registration {
            flow: *flow,
            holder: agent(HOLDER),
            roster: Version::new(2),
        };
        let from = agent(HOLDER);
        owner.handle(holder.now, Event::Registration { from, registration });
    }
    let mut resets = 0;
    for flow in flows_of_owner().take(5_000) {
        let actions = owner.handle(holder.now, acknowledgement(flow));
        let reset = actions
            .iter()
            .find(|action| matches!(action, Action::Send(packet) if packet.body == Body::Reset));
        resets += usize::from(reset.is_some());
    }
    assert_eq!(resets, 0);
}
