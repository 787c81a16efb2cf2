use usher_forwarding::NodeId;

use crate::fixture::{Fixture, SERVICE, node, report};

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
