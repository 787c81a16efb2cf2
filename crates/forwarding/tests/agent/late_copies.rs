//! Copies of opening packets that waited at a paused node while their flow opened.

use assert_matches::assert_matches;
use usher_forwarding::{AgentForwarder, InboundAction, PacketHeader};

use crate::fixture::{
    agent, answer, at, data_packet, forward_header, heartbeat, open_flow, opening, serving_agent,
};

// More than the positions by which packets of one flow may differ.
const SENT: u32 = 100_000;

// The caller sends on, beyond any position near that of its opening packet.
fn send_further(agent: &mut AgentForwarder) -> PacketHeader {
    let mut packet = data_packet(1);
    for (millis, sequence) in (1_000..).step_by(50).zip((1..SENT).step_by(10_000)) {
        packet.sequence = sequence;
        agent.on_packet(at(millis), &packet, &forward_header(&[3, 4], 0));
        agent.on_host_packet(at(millis + 1), &answer(&packet, false, 10));
    }
    packet.sequence = SENT;
    packet
}

/// Guards against an agent that takes a late copy for the opening packet of a new flow and then no
/// longer knows the packets of the open one, which the balancer resets.
#[test]
fn a_late_copy_leaves_its_flow_open() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let next = send_further(&mut agent);
    let copy = agent.on_packet(at(5_000), &opening(1), &forward_header(&[4, 3], 1));
    assert_matches!(copy.action, InboundAction::Deliver { opening: false, .. });
    let inbound = agent.on_packet(at(5_001), &next, &forward_header(&[3], 0));
    assert_matches!(inbound.action, InboundAction::Deliver { token: 0, .. });
}

/// Guards against the same at an agent that started after the flow had opened.
#[test]
fn a_late_copy_leaves_a_flow_of_an_earlier_agent_open() {
    let mut agent = agent();
    agent.on_heartbeat(at(0), heartbeat("i-1", 100, 7));
    let packet = data_packet(1);
    agent.on_host_packet(at(10), &answer(&packet, false, 10));
    agent.on_packet(at(4_000), &packet, &forward_header(&[3], 0));
    let copy = agent.on_packet(at(5_000), &opening(1), &forward_header(&[4, 3], 1));
    assert_matches!(copy.action, InboundAction::Deliver { opening: false, .. });
}

/// Guards against a new flow of a port that is taken for a late copy while the earlier one is open.
#[test]
fn another_sequence_opens_a_new_flow() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let next = PacketHeader {
        sequence: 1_000_000_000,
        ..opening(1)
    };
    let inbound = agent.on_packet(at(5_000), &next, &forward_header(&[3, 4], 0));
    assert_matches!(inbound.action, InboundAction::Deliver { opening: true, .. });
}
