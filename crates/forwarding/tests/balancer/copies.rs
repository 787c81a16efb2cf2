use assert_matches::assert_matches;
use usher_forwarding::{Hint, HostSource, HostState, NodeId, Report, Verdict};

use crate::fixture::{Fixture, SERVICE, flow, node, packet_header, report};

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

/// Guards against a late copy that replaces the known host of a flow after the view has grown.
#[test]
fn a_copy_follows_the_first_packet_when_hosts_have_joined() {
    for port in 1..60 {
        let mut fixture = Fixture::new();
        let placed = fixture.place(10, port, 0);
        for last in 10..47 {
            fixture.on_report(100, last, &report(1, SERVICE));
        }
        fixture.report_all(100, 2);
        assert_eq!(fixture.place(210, port, 1), placed, "port {port}");
    }
}

/// Guards against a late copy that replaces the known host of a flow when the host drains.
#[test]
fn a_copy_leaves_the_flow_with_a_host_that_drains() {
    let mut fixture = Fixture::new();
    let placed = fixture.place(10, 1, 0);
    let hint = Hint {
        flow: flow(1),
        node: placed,
    };
    fixture.forwarder.on_hint(crate::fixture::at(12), &hint);
    let draining = Report {
        state: HostState::Draining,
        ..report(2, SERVICE)
    };
    let [.., last] = placed.address().octets();
    fixture.on_report(100, last, &draining);
    fixture.place(210, 1, 1);
    let verdict = fixture.send(220, &packet_header(1, false));
    assert_matches!(verdict, Verdict::Send { to, how: HostSource::Cached, .. } if to == placed);
}
