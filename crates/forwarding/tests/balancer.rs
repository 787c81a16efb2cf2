//! Decisions of a balancer about packets, one situation per test.

use std::sync::Arc;

use assert_matches::assert_matches;
use usher_forwarding::{
    BalancerForwarder, Configuration, Flags, FlowKey, Hint, HostDirectory, HostSource, HostState,
    Load, NodeId, PacketHeader, RejectReason, Report, Route, RoutingView, ServiceKey, Verdict,
};
use usher_types::{Sequence, Slots, Span, Time};

const ADDRESS: &str = "198.18.0.1:443";
const SERVICE: &str = "namedesk";

fn node(last: u8) -> NodeId {
    NodeId::new([10, 1, 0, last].into())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn report(sequence: u32, service: &str) -> Report {
    Report {
        epoch: 1,
        sequence: Sequence::new(sequence),
        centre: "kolkata".parse().unwrap(),
        service: ServiceKey::of(service),
        state: HostState::Serving,
        born: 100,
        slots: Slots::new(4),
        warmup: Span::ZERO,
        load: Load::default(),
        relayed: false,
    }
}

fn configuration(version: u64, service: &str) -> Arc<Configuration> {
    let route = Route {
        name: "r-1".to_owned(),
        services: vec![(ServiceKey::of(service), 100)],
        timeout: Span::from_millis(800),
        target: Span::from_millis(120),
        rank: 2,
    };
    Arc::new(Configuration {
        version: format!("{version}@{version}").parse().unwrap(),
        routes: [(ADDRESS.parse().unwrap(), route)].into_iter().collect(),
        ..Configuration::default()
    })
}

// A balancer and three hosts of one service, which all reported at the same time.
struct Fixture {
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
}

impl Fixture {
    fn new() -> Self {
        let mut directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
        for last in [3, 4, 5] {
            directory.on_direct_report(at(0), node(last), &report(1, SERVICE));
        }
        let view = directory.view(configuration(1, SERVICE), &RoutingView::default());
        let forwarder = BalancerForwarder::new(node(9));
        Self {
            directory,
            forwarder,
            view,
        }
    }

    fn on_report(&mut self, millis: u64, last: u8, report: &Report) {
        if self
            .directory
            .on_direct_report(at(millis), node(last), report)
        {
            self.publish();
        }
    }

    fn report_all(&mut self, millis: u64, sequence: u32) {
        for last in [3, 4, 5] {
            self.on_report(millis, last, &report(sequence, SERVICE));
        }
    }

    fn publish(&mut self) {
        let configuration = configuration(1, SERVICE);
        self.view = self.directory.view(configuration, &self.view);
    }

    fn send(&mut self, millis: u64, packet_header: &PacketHeader) -> Verdict {
        self.forwarder
            .on_packet(at(millis), packet_header, &self.view)
    }

    // Sends an opening packet and returns the host that the flow is placed on.
    fn place(&mut self, millis: u64, port: u16, copy: u32) -> NodeId {
        let verdict = self.send(millis, &opening(port, copy));
        assert_matches!(verdict, Verdict::Send { to, how: HostSource::Placed { .. }, .. } => to)
    }
}

fn packet_header(port: u16, opening: bool) -> PacketHeader {
    PacketHeader {
        source: format!("100.64.0.7:{port}").parse().unwrap(),
        target: ADDRESS.parse().unwrap(),
        flags: Flags {
            opening,
            acknowledging: !opening,
            ..Flags::default()
        },
        sequence: 1,
        acknowledged: 0,
        data: 0,
        token: 0,
    }
}

fn opening(port: u16, copy: u32) -> PacketHeader {
    PacketHeader {
        acknowledged: copy,
        ..packet_header(port, true)
    }
}

fn flow(port: u16) -> FlowKey {
    packet_header(port, true).inbound()
}

/// Guards against flows that pile up on one host between two reports.
#[test]
fn flows_spread_over_hosts_between_reports() {
    let mut fixture = Fixture::new();
    let placed: Vec<NodeId> = (1..=12).map(|port| fixture.place(10, port, 0)).collect();
    for last in [3, 4, 5] {
        let count = placed.iter().filter(|to| **to == node(last)).count();
        assert_eq!(count, 4, "{placed:?}");
    }
}

/// Guards against a copy of an opening packet that opens the flow twice.
///
/// Also against a copy that is sent to the host of the first packet when that host is gone.
#[test]
fn copies_follow_the_first_packet_while_its_host_is_heard() {
    let mut fixture = Fixture::new();
    let placed: Vec<NodeId> = (1..=12).map(|port| fixture.place(10, port, 0)).collect();
    let copies: Vec<NodeId> = (1..=12).map(|port| fixture.place(200, port, 1)).collect();
    assert_eq!(copies, placed);
    let first = placed[0];
    for last in [3, 4, 5].into_iter().filter(|last| node(*last) != first) {
        fixture.on_report(600, last, &report(2, SERVICE));
    }
    assert_ne!(fixture.place(610, 1, 2), first);
}

/// Guards against new flows for hosts that do not take any.
#[test]
fn only_serving_hosts_are_candidates_for_new_flows() {
    for state in [HostState::Draining, HostState::Ended, HostState::Unheard] {
        let mut fixture = Fixture::new();
        let report = Report {
            state,
            ..report(2, SERVICE)
        };
        fixture.on_report(5, 3, &report);
        for port in 1..=9 {
            let verdict = fixture.send(10, &opening(port, 0));
            let forward_header =
                assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
            assert!(
                !forward_header.candidates.as_slice().contains(&node(3)),
                "{state}"
            );
        }
    }
}

/// Guards against a balancer that is cut off and treats all hosts as gone.
#[test]
fn a_balancer_that_hears_no_host_keeps_placing_flows() {
    let mut fixture = Fixture::new();
    fixture.place(60_000, 1, 0);
    assert!(!fixture.directory.expire(at(60_000)));
}

/// Guards against a host that stopped without notice and stays in the directory.
#[test]
fn a_silent_host_is_removed_while_others_are_heard() {
    let mut fixture = Fixture::new();
    fixture.on_report(31_000, 4, &report(2, SERVICE));
    fixture.on_report(31_000, 5, &report(2, SERVICE));
    assert!(fixture.directory.expire(at(31_000)));
    assert_eq!(fixture.directory.agents().count(), 2);
}

/// Guards against a late report that cancels draining.
#[test]
fn late_reports_change_nothing() {
    let mut fixture = Fixture::new();
    let draining = Report {
        state: HostState::Draining,
        ..report(5, SERVICE)
    };
    fixture.on_report(5, 3, &draining);
    fixture.on_report(6, 3, &report(4, SERVICE));
    let state = fixture.directory.state(at(6), node(3)).unwrap().0;
    assert_eq!(state, HostState::Draining);
    // A new process of the agent restarts the sequence; reports of its predecessor are late.
    let restarted = Report {
        epoch: 2,
        ..report(1, SERVICE)
    };
    fixture.on_report(7, 3, &restarted);
    fixture.on_report(8, 3, &draining);
    let state = fixture.directory.state(at(8), node(3)).unwrap().0;
    assert_eq!(state, HostState::Serving);
}

/// Guards against the loss of a flow whose packets move to another balancer.
///
/// That happens when the rotation changes.
#[test]
fn an_unknown_flow_is_searched_and_then_found() {
    let mut fixture = Fixture::new();
    let verdict = fixture.send(10, &packet_header(1, false));
    let forward_header = assert_matches!(
        verdict,
        Verdict::Send { forward_header, how: HostSource::Searched, .. } => forward_header
    );
    assert_eq!(forward_header.candidates.as_slice().len(), 3);
    let held = Hint::Held {
        flow: flow(1),
        node: node(5),
    };
    assert_eq!(
        fixture.forwarder.on_hint(at(11), &held, &fixture.view),
        None
    );
    let verdict = fixture.send(12, &packet_header(1, false));
    assert_matches!(verdict, Verdict::Send { to, how: HostSource::Cached, .. } if to == node(5));
}

/// Guards against the loss of a flow whose route moves to another service.
#[test]
fn flows_are_searched_at_the_services_of_earlier_configurations() {
    let mut fixture = Fixture::new();
    for last in 10..30 {
        fixture.on_report(1, last, &report(1, "pedigree"));
    }
    fixture.view = fixture
        .directory
        .view(configuration(2, "pedigree"), &fixture.view);
    let verdict = fixture.send(10, &packet_header(1, false));
    let forward_header =
        assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
    assert_eq!(forward_header.candidates.as_slice().len(), 16);
    let verdict = fixture.send(10, &opening(2, 0));
    let forward_header =
        assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
    assert!(!forward_header.candidates.as_slice().contains(&node(3)));
}

/// Guards against a caller that waits at an address without a route.
#[test]
fn new_flows_without_a_route_are_refused_at_once() {
    let mut fixture = Fixture::new();
    let mut packet = opening(1, 0);
    packet.target = "198.18.0.9:443".parse().unwrap();
    let verdict = fixture.send(10, &packet);
    assert_matches!(
        verdict,
        Verdict::Reset {
            reason: RejectReason::NoRoute,
            ..
        }
    );
    fixture.view = RoutingView::default();
    let verdict = fixture.send(10, &opening(1, 0));
    assert_eq!(verdict, Verdict::Drop(RejectReason::Unconfigured));
}

/// Guards against the reset of a flow whose host may still run.
#[test]
fn a_missing_flow_is_reset_only_when_all_hosts_are_heard() {
    let missing = Hint::Missing {
        flow: flow(1),
        received: 7,
    };
    let mut fixture = Fixture::new();
    let unsettled = Some(Verdict::Drop(RejectReason::Unsettled));
    let verdict = fixture.forwarder.on_hint(at(100), &missing, &fixture.view);
    assert_eq!(verdict, unsettled, "hosts may not have been heard yet");
    fixture.send(200, &packet_header(1, false));
    fixture.report_all(6_000, 2);
    let verdict = fixture
        .forwarder
        .on_hint(at(6_000), &missing, &fixture.view);
    assert_matches!(verdict, Some(Verdict::Reset { received: 7, .. }));
    fixture.on_report(7_000, 4, &report(3, SERVICE));
    let verdict = fixture
        .forwarder
        .on_hint(at(7_000), &missing, &fixture.view);
    assert_eq!(verdict, unsettled, "two hosts are not heard");
    fixture.report_all(7_100, 4);
    fixture.on_report(7_100, 6, &report(1, SERVICE));
    let verdict = fixture
        .forwarder
        .on_hint(at(7_200), &missing, &fixture.view);
    assert_eq!(verdict, unsettled, "a host has just joined");
}

/// Guards against the reset of a flow whose host a search visits late.
///
/// A large service has more hosts than one search round visits.
#[test]
fn a_search_visits_all_hosts_of_a_large_service_before_a_reset() {
    let mut fixture = Fixture::new();
    for last in 10..47 {
        fixture.on_report(1, last, &report(1, SERVICE));
    }
    for last in 10..47 {
        fixture.on_report(6_000, last, &report(2, SERVICE));
    }
    fixture.report_all(6_000, 2);
    let missing = Hint::Missing {
        flow: flow(1),
        received: 7,
    };
    let mut visited = Vec::new();
    for _round in 0..3 {
        let verdict = fixture.send(6_000, &packet_header(1, false));
        let forward_header =
            assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
        visited.extend_from_slice(forward_header.candidates.as_slice());
        let verdict = fixture
            .forwarder
            .on_hint(at(6_000), &missing, &fixture.view);
        assert_eq!(verdict.is_some(), visited.len() == 40, "{}", visited.len());
    }
    visited.sort();
    visited.dedup();
    assert_eq!(visited.len(), 40);
}

/// Guards against flows of a large service on hosts that a search visits last.
#[test]
fn flows_of_a_large_service_are_placed_where_a_search_begins() {
    let mut fixture = Fixture::new();
    for last in 10..47 {
        fixture.on_report(1, last, &report(1, SERVICE));
    }
    for port in 1..100 {
        let host = fixture.place(10, port, 0);
        let mut other = BalancerForwarder::new(node(8));
        let verdict = other.on_packet(at(11), &packet_header(port, false), &fixture.view);
        let forward_header =
            assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
        assert!(forward_header.candidates.as_slice().contains(&host));
    }
}

/// Guards against the refusal of callers by a balancer that has just started.
///
/// Also against callers that wait for a service without hosts.
#[test]
fn a_service_without_hosts_refuses_once_the_balancer_knows() {
    let mut fixture = Fixture::new();
    for last in [3, 4, 5] {
        let ended = Report {
            state: HostState::Ended,
            ..report(2, SERVICE)
        };
        fixture.on_report(5, last, &ended);
    }
    let verdict = fixture.send(100, &opening(1, 0));
    assert_eq!(verdict, Verdict::Drop(RejectReason::Unsettled));
    let verdict = fixture.send(5_000, &opening(2, 0));
    assert_matches!(
        verdict,
        Verdict::Reset {
            reason: RejectReason::NoHost,
            ..
        }
    );
}
