//! How soon the owners of buckets hear of flows that other agents hold.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use usher_flows::{Action, Event, FlowTable, Settings};
use usher_placement::{bucket_of, highest_ranked};
use usher_types::{
    Body, Buckets, FlowId, Generation, HostId, HostState, Incarnation, Member, Packet,
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

// The owner is busy and forwards the opening packet.
fn forwarded_opening(flow: FlowId) -> Event {
    let packet = Packet {
        flow,
        sequence: Sequence::default(),
        body: Body::Open,
    };
    Event::Relay(Relay {
        service: "desk".parse().unwrap(),
        generation: GENERATION,
        roster: Version::new(1),
        route: vec![agent(OWNER), agent(HOLDER)],
        current: 2,
        hop: 1,
        mode: RelayMode::Hunt,
        balancer: agent(9),
        packet,
    })
}

struct Holder {
    table: FlowTable,
    now: Time,
    version: u64,
    /// Flows registered again after they were accepted.
    registered: HashSet<FlowId>,
}

impl Holder {
    fn new(flows: usize) -> Self {
        let settings = Settings::new(
            "desk".parse().unwrap(),
            GENERATION,
            BUCKETS,
            host(HOLDER),
            agent(HOLDER),
            Span::from_millis(5),
        );
        let mut holder = Self {
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
