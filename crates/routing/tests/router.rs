//! Forwarding of packets, hints and the retry budget.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;

use assert_matches::assert_matches;
use common::{agent, flow, host, roster, table};
use usher_routing::{DropReason, Forward, HintTable, Router};
use usher_types::{Body, HostState, Packet, Relay, RelayMode, Roster, Sequence};

const ADDRESS: &str = "192.0.2.1:80";

fn address() -> SocketAddrV4 {
    ADDRESS.parse().unwrap()
}

fn packet(caller: u32, body: Body) -> Packet {
    Packet {
        flow: flow(ADDRESS, caller),
        sequence: Sequence::new(1),
        body,
    }
}

fn relay(router: &Router, caller: u32, hints: &mut HintTable) -> Relay {
    let forward = router.forward(packet(caller, Body::Open), hints, agent(999));
    let Forward::Send { to, relay } = forward else {
        panic!("packet dropped: {forward:?}");
    };
    assert_eq!(relay.route.first(), Some(&to));
    assert_eq!(relay.hop, 0);
    assert!(relay.route.len() <= 6 && usize::from(relay.current) <= relay.route.len());
    relay
}

/// Guards against a hinted route without the current owner, or without an earlier owner.
#[test]
fn a_hinted_route_starts_with_the_holder_and_the_owner() {
    let mut rosters = [roster(3, 0..6), roster(2, 6..9), roster(1, 9..12)];
    for draining in [4, 5] {
        rosters[0].members[&host(draining)].state = HostState::Draining;
    }
    let mut full = 0;
    let router = Router::new([(address(), Arc::new(table(64, &rosters)))]);
    for caller in 0..200 {
        let plain = relay(&router, caller, &mut HintTable::new(10));
        assert_eq!(plain.mode, RelayMode::Owner);
        full += usize::from(plain.route.len() == 6);
        for holder in (0..12)
            .map(agent)
            .filter(|holder| *holder != plain.route[0])
        {
            let mut hints = HintTable::new(10);
            hints.insert(flow(ADDRESS, caller), holder);
            let hinted = relay(&router, caller, &mut hints);
            assert_eq!(hinted.mode, RelayMode::Direct);
            assert_eq!(hinted.route[..2], [holder, plain.route[0]]);
            let earlier = &plain.route[usize::from(plain.current)..];
            assert!(earlier.iter().all(|owner| hinted.route.contains(owner)));
        }
    }
    assert!(
        full > 0,
        "no route was full, so no hint displaced an address"
    );
}

/// Guards against a stale hint that sends a packet to a host of another service (P2) or to a
/// suspected one.
#[test]
fn a_hint_outside_the_service_or_under_suspicion_is_not_used() {
    let table = table(64, &[roster(1, 0..4)]).with_suspected(&[host(3)]);
    let router = Router::new([(address(), Arc::new(table))]);
    for holder in [agent(50), agent(3)] {
        let mut hints = HintTable::new(10);
        hints.insert(flow(ADDRESS, 1), holder);
        let relay = relay(&router, 1, &mut hints);
        assert_eq!(relay.mode, RelayMode::Owner);
        assert_ne!(relay.route[0], holder);
    }
}

/// Guards against packets that are forwarded without a destination.
#[test]
fn packets_without_a_destination_are_dropped() {
    let mut hints = HintTable::new(10);
    let empty = Router::new([(address(), Arc::new(table(16, &[Roster::default()])))]);
    let cases = [
        (Router::default(), Body::Open, DropReason::UnknownService),
        (empty.clone(), Body::Open, DropReason::NoMembers),
        (empty.clone(), Body::Accept, DropReason::WrongDirection),
        (empty.clone(), Body::Closed, DropReason::WrongDirection),
        (empty, Body::Reset, DropReason::WrongDirection),
    ];
    for (router, body, expected) in cases {
        let forward = router.forward(packet(1, body), &mut hints, agent(999));
        assert_matches!(forward, Forward::Drop(reason) if reason == expected);
    }
}

/// Guards against a hint table that grows, and against eviction of hints in use.
#[test]
fn hints_are_bounded_and_those_in_use_stay() {
    let mut hints = HintTable::new(100);
    hints.insert(flow(ADDRESS, 0), agent(0));
    for caller in 1..10_000 {
        hints.insert(flow(ADDRESS, caller), agent(1));
        assert!(hints.len() <= 100);
        assert_eq!(hints.holder(&flow(ADDRESS, 0)), Some(agent(0)));
    }
    assert_eq!(hints.holder(&flow(ADDRESS, 1)), None);
    hints.insert(flow(ADDRESS, 0), agent(2));
    assert_eq!(
        hints.holder(&flow(ADDRESS, 0)),
        Some(agent(2)),
        "a newer hint replaces an earlier one"
    );
    hints.remove(&flow(ADDRESS, 0));
    assert_eq!(hints.holder(&flow(ADDRESS, 0)), None);
}
