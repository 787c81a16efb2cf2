//! Rosters, tables and flows for the tests.

use std::net::SocketAddrV4;

use usher_routing::Table;
use usher_types::{
    Buckets, FlowId, Generation, HostId, HostState, Incarnation, Member, Roster, Version, Weight,
};

pub fn host(index: usize) -> HostId {
    format!("h{index}").parse().unwrap()
}

pub fn agent(index: usize) -> SocketAddrV4 {
    let high = 100 + index / 50_000;
    let port = 1_000 + index % 50_000;
    format!("127.0.0.{high}:{port}").parse().unwrap()
}

pub fn member(index: usize) -> Member {
    Member {
        incarnation: Incarnation::new(1),
        agent: agent(index),
        admin: agent(index),
        centre: "kolkata".parse().unwrap(),
        weight: Weight::NOMINAL,
        state: HostState::Serving,
    }
}

pub fn roster(version: u64, members: impl IntoIterator<Item = usize>) -> Roster {
    Roster {
        earlier: Vec::new(),
        version: Version::new(version),
        members: members.into_iter().map(|i| (host(i), member(i))).collect(),
    }
}

pub fn table(buckets: u32, rosters: &[Roster]) -> Table {
    let service = "namedesk".parse().unwrap();
    Table::new(service, Generation::new(1), Buckets::new(buckets), rosters)
}

pub fn flow(service: &str, caller: u32) -> FlowId {
    let [_, a, b, c] = caller.to_be_bytes();
    format!("10.{a}.{b}.{c}:4000>{service}#1").parse().unwrap()
}
