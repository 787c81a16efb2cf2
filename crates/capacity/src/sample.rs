//! Generated rosters, flows, objects and messages; the same arguments always give the same values.

use std::net::{Ipv4Addr, SocketAddrV4};

use usher_config::{Kind, Object, Value, WriteId};
use usher_types::{
    Balancer, Beat, BeatAck, Body, DataCentre, Fleet, FlowId, HostId, HostState, Incarnation,
    InstanceId, Member, Packet, PastRoster, Peer, Roster, Sequence, Service, ServiceName, Span,
    Time, Version, Weight,
};

/// Number of data centres in the deployment size expected in two years.
pub(crate) const CENTRES: usize = 16;
/// Start of all measurements; its distance from zero exceeds all timeouts and leases.
pub(crate) const START: Time = Time::from_micros(10_000_000_000);

// Earlier rosters that a roster lists.
const EARLIER_ROSTERS: u64 = 2;
// First addresses, as numbers: 10.0.0.1, 192.168.0.1 and 11.0.0.1.
const FIRST_HOST: u32 = 0x0a00_0001;
const FIRST_SERVICE: u32 = 0xc0a8_0001;
const FIRST_CALLER: u32 = 0x0b00_0001;
const FLOWS_PER_ADDRESS: usize = 50_000;
const AGENT_PORT: u16 = 7_000;
// Milliseconds since 1970, as incarnations are in use; a smaller number would be encoded shorter.
const INCARNATION: Incarnation = Incarnation::new(1_790_000_000_000);
// A version as large as in use, since smaller numbers are encoded shorter.
const VERSION: u64 = 40_000_000;

fn parse<T: std::str::FromStr<Err = E>, E: std::fmt::Display>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|error| unreachable!("{text} is valid: {error}"))
}

pub(crate) fn centre(index: usize) -> DataCentre {
    parse(&format!("centre-{}", index % CENTRES))
}

pub(crate) fn host(index: usize) -> HostId {
    parse(&format!("booking-desk-{index}"))
}

pub(crate) fn instance(index: usize) -> InstanceId {
    parse(&format!("entry-{index}"))
}

pub(crate) fn service_name(index: usize) -> ServiceName {
    parse(&format!("service-{index}"))
}

pub(crate) fn agent(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_HOST + index as u32), AGENT_PORT)
}

pub(crate) fn service_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_SERVICE + index as u32), AGENT_PORT)
}

fn member(index: usize) -> (HostId, Member) {
    let listed = Member {
        incarnation: INCARNATION,
        agent: agent(index),
        admin: SocketAddrV4::new(*agent(index).ip(), AGENT_PORT + 1),
        centre: centre(index),
        weight: Weight::NOMINAL,
        state: HostState::Serving,
    };
    (host(index), listed)
}

/// The values that a message about the change of a single member would carry.
pub(crate) fn member_change() -> (ServiceName, Version, HostId, Member) {
    let (host, member) = member(0);
    (service_name(0), Version::new(VERSION), host, member)
}

/// A roster of `size` hosts from `first` on, with two earlier rosters.
///
/// The earlier rosters hold older incarnations of the same hosts.
pub(crate) fn roster(first: usize, size: usize) -> Roster {
    let earlier = (1..=EARLIER_ROSTERS).map(|age| PastRoster {
        version: Version::new(VERSION - age),
        members: (0..size)
            .map(|offset| member(first + offset))
            .map(|(host, listed)| (host, with_older_incarnation(listed, age)))
            .collect(),
    });
    Roster {
        version: Version::new(VERSION),
        members: (first..first + size).map(member).collect(),
        earlier: earlier.collect(),
    }
}

// The same member with an incarnation that is `age` older.
fn with_older_incarnation(mut member: Member, age: u64) -> Member {
    member.incarnation = Incarnation::new(INCARNATION.get() - age);
    member
}

pub(crate) fn fleet(size: usize) -> Fleet {
    let balancer = |index| Balancer {
        incarnation: INCARNATION,
        control: agent(index),
        admin: SocketAddrV4::new(*agent(index).ip(), AGENT_PORT + 1),
    };
    Fleet {
        version: Version::new(VERSION),
        balancers: (0..size)
            .map(|index| (instance(index), balancer(index)))
            .collect(),
    }
}

pub(crate) fn object(kind: Kind, name: &str, version: u64, value: Value) -> Object {
    Object {
        kind,
        name: parse(name),
        version: Version::new(version),
        position: Version::new(version),
        write_id: WriteId::new(u128::from(version) << 64),
        value: Some(value),
    }
}

pub(crate) fn service_object(index: usize, version: u64) -> Object {
    let service = Service {
        address: service_address(index),
        profile: parse("bookings"),
        generation: usher_types::Generation::new(1),
    };
    object(
        Kind::Service,
        service_name(index).as_str(),
        version,
        service.into(),
    )
}

pub(crate) fn flow(index: usize, service: usize) -> FlowId {
    let address = FIRST_CALLER + (index / FLOWS_PER_ADDRESS) as u32;
    let port = 10_000 + (index % FLOWS_PER_ADDRESS) as u16;
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::from(address), port),
        service: service_address(service),
        nonce: index as u32,
    }
}

pub(crate) fn packet(flow: FlowId, body: Body) -> Packet {
    Packet {
        flow,
        sequence: Sequence::new(7),
        body,
    }
}

pub(crate) fn beat(from: usize, sent: Time, suspects: usize) -> Beat {
    Beat {
        from: Peer::Host(host(from)),
        incarnation: INCARNATION,
        roster: Version::new(VERSION),
        revision: Version::new(VERSION),
        state: HostState::Serving,
        wait: Span::from_millis(3),
        weight: Weight::NOMINAL,
        sent,
        suspects: (0..suspects).map(|index| Peer::Host(host(index))).collect(),
    }
}

pub(crate) fn beat_ack(from: usize, sent: Time) -> BeatAck {
    BeatAck {
        from: Peer::Host(host(from)),
        roster: Version::new(VERSION),
        revision: Version::new(VERSION),
        sent,
    }
}
