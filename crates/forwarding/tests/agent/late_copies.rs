//! Copies of opening packets that waited at a paused node while their flow opened.

use assert_matches::assert_matches;
use usher_forwarding::{AgentForwarder, ForwardHeader, InboundAction, PacketHeader};
use usher_types::Span;

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

/// Guards against a queued opening packet that is delivered or refused after a pause of the agent: its
/// flow may be open at another host by then.
#[test]
fn a_queued_flow_is_dropped_once_its_caller_has_given_it_up() {
    for (copy, given_up) in [(0, 1_400), (1, 1_200), (2, 800)] {
        let dropped = released(&mut agent_with_queue(copy), 2 + given_up);
        assert_eq!(dropped, [InboundAction::Drop]);
        let refused = released(&mut agent_with_queue(copy), 1 + given_up);
        assert_matches!(refused[..], [InboundAction::Refuse { .. }]);
    }
}

/// Guards against the same after a suspension of the machine, which the agent's clock does not count.
#[test]
fn a_suspension_counts_as_a_wait() {
    let mut agent = agent_with_queue(0);
    agent.on_suspension(Span::from_secs(4));
    assert_eq!(released(&mut agent, 3), [InboundAction::Drop]);
    let mut agent = agent_with_queue(0);
    agent.on_suspension(Span::from_millis(600));
    assert!(released(&mut agent, 3).is_empty(), "the caller still waits");
}

// An agent without a free slot that has queued a copy of an opening packet at 2 ms.
fn agent_with_queue(copy: u32) -> AgentForwarder {
    let mut agent = serving_agent();
    for port in 1..=3 {
        agent.on_packet(at(1), &opening(port), &final_header());
        agent.on_host_packet(at(1), &answer(&opening(port), true, 0));
        agent.on_packet(at(2), &data_packet(port), &final_header());
    }
    let packet = PacketHeader {
        acknowledged: copy,
        ..opening(4)
    };
    let held = agent.on_packet(at(2), &packet, &final_header());
    assert_eq!(held.action, InboundAction::Hold);
    agent
}

fn released(agent: &mut AgentForwarder, millis: u64) -> Vec<InboundAction> {
    let releases = agent.release(at(millis));
    releases.iter().map(|out| out.inbound.action).collect()
}

fn final_header() -> ForwardHeader {
    ForwardHeader {
        is_final: true,
        budget: Span::from_secs(10),
        ..forward_header(&[3], 0)
    }
}
