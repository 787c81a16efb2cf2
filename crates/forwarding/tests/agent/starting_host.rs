//! A backend server that is starting and has sent no heartbeat.

use assert_matches::assert_matches;
use usher_forwarding::{InboundAction, Outbound};

use crate::fixture::{agent, answer, at, data_packet, forward_header, serving_agent};

/// Guards against open flows that end because a search visits a backend server that is just starting,
/// which answers data of unknown flows with a reset.
#[test]
fn a_reset_of_a_starting_backend_server_ends_no_flow_of_another_one() {
    let resetting = |port| {
        let mut reset = answer(&data_packet(port), false, 0);
        reset.flags.resetting = true;
        reset
    };
    let mut young = agent();
    let inbound = young.on_packet(at(1), &data_packet(1), &forward_header(&[3, 4], 0));
    assert_matches!(inbound.action, InboundAction::Deliver { .. });
    assert_eq!(
        young.on_host_packet(at(2), &resetting(1)),
        Outbound::Withheld
    );
    // A flow that the backend server has answered is its own.
    young.on_host_packet(at(3), &answer(&data_packet(2), false, 10));
    let outbound = young.on_host_packet(at(4), &resetting(2));
    assert_matches!(outbound, Outbound::ToCaller { .. });
    // A backend server that is heard may reset a flow from before the agent's start.
    let outbound = serving_agent().on_host_packet(at(2), &resetting(1));
    assert_matches!(outbound, Outbound::ToCaller { .. });
}
