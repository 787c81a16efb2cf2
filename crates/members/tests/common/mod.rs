//! Rosters, heartbeats and processes for the tests.

use std::sync::Arc;

use rand_pcg::Pcg64;
use usher_members::{Action, Event, Identity, Membership};
use usher_types::{
    Beat, HostId, HostState, Incarnation, Member, Peer, Roster, ServiceName, Span, Time, Version,
    Weight,
};

pub const SEED: u128 = 7;

pub fn at(second: u64) -> Time {
    Time::ZERO + Span::from_secs(second)
}

pub fn service() -> ServiceName {
    "namedesk".parse().unwrap()
}

pub fn host(index: usize) -> HostId {
    format!("h{index}").parse().unwrap()
}

pub fn member(index: usize) -> Member {
    Member {
        incarnation: Incarnation::new(1),
        agent: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        admin: format!("127.0.0.1:{}", 19_000 + index).parse().unwrap(),
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

pub fn agent(index: usize) -> Membership {
    let identity = Identity::Agent {
        host: host(index),
        service: service(),
        centre: "kolkata".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    Membership::new(identity, Box::new(Pcg64::new(SEED, 1)))
}

pub fn adopt(membership: &mut Membership, now: Time, roster: &Roster) -> Vec<Action> {
    let event = Event::Roster {
        service: service(),
        roster: Arc::new(roster.clone()),
    };
    membership.handle(now, event)
}

pub fn beat(from: Peer, now: Time, suspects: Vec<HostId>) -> Event {
    let beat = Beat {
        from,
        incarnation: Incarnation::new(1),
        roster: Version::new(1),
        revision: Version::default(),
        state: HostState::Serving,
        wait: Span::ZERO,
        weight: Weight::NOMINAL,
        sent: now,
        suspects: suspects.into_iter().map(Peer::Host).collect(),
    };
    let source = "127.0.0.1:8999".parse().unwrap();
    Event::Beat { source, beat }
}
