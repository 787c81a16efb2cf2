use assert_matches::assert_matches;
use usher_forwarding::{
    BalancerForwarder, Hint, HostSource, HostState, NodeId, RejectReason, Report, RoutingView,
    Verdict,
};

use crate::fixture::{
    Fixture, SERVICE, at, configuration, flow, node, opening, packet_header, report,
};

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
        Verdict::Send { forward_header, how: HostSource::Searched { visited: 0, known: 3 }, .. } => forward_header
    );
    assert_eq!(forward_header.candidates.as_slice().len(), 3);
    let held = Hint {
        flow: flow(1),
        node: node(5),
    };
    fixture.forwarder.on_hint(at(11), &held);
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
    let mut fixture = Fixture::new();
    let unsettled = Verdict::Drop(RejectReason::Unsettled);
    let verdict = fixture.return_packet(100, &[3, 4, 5]);
    assert_eq!(verdict, unsettled, "hosts may not have been heard yet");
    fixture.report_all(6_000, 2);
    fixture.send(6_000, &packet_header(1, false));
    let verdict = fixture.return_packet(6_000, &[3, 4, 5]);
    assert_matches!(verdict, Verdict::Reset { received: 7, .. });
    fixture.on_report(7_000, 4, &report(3, SERVICE));
    fixture.send(7_000, &packet_header(1, false));
    let verdict = fixture.return_packet(7_000, &[3, 4, 5]);
    assert_eq!(verdict, unsettled, "two hosts are not heard");
    fixture.report_all(7_600, 4);
    fixture.on_report(7_600, 6, &report(1, SERVICE));
    fixture.send(7_700, &packet_header(1, false));
    let verdict = fixture.return_packet(7_700, &[3, 4, 5]);
    assert_matches!(verdict, Verdict::Send { to, .. } if to == node(6));
    let verdict = fixture.return_packet(7_700, &[6]);
    assert_eq!(verdict, unsettled, "a host has just joined");
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
