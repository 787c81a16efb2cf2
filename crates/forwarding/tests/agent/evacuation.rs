use assert_matches::assert_matches;
use usher_forwarding::{
    AgentForwarder, ForwardHeader, ForwardReason, Inbound, InboundAction, NodeId,
};
use usher_types::Span;

use crate::fixture::{
    answer, at, close_flow, data_packet, forward_header, heartbeat, node, open_flow, opening,
    serving_agent,
};

fn passed_on(inbound: &Inbound) -> (NodeId, ForwardHeader) {
    assert_matches!(
        inbound.action,
        InboundAction::Forward { to, forward_header, reason: ForwardReason::Evacuated }
            => (to, forward_header)
    )
}

// An agent whose slots are taken, with a queued flow that has the candidates.
fn agent_with_queued_flow(candidates: &[u8], hop: u8) -> AgentForwarder {
    let mut agent = serving_agent();
    for port in [1, 2] {
        open_flow(&mut agent, port);
    }
    let final_hop = ForwardHeader {
        is_final: true,
        ..forward_header(candidates, hop)
    };
    let taken = agent.on_packet(at(4), &opening(3), &final_hop);
    assert_matches!(taken.action, InboundAction::Deliver { opening: true, .. });
    let held = agent.on_packet(at(4), &opening(9), &final_hop);
    assert_matches!(held.action, InboundAction::Hold);
    agent
}

/// Guards against a new flow that a balancer without the newest evacuations sends to a host of an
/// evacuated data centre, and against a host that takes none after the end.
#[test]
fn opening_packets_are_passed_on_during_an_evacuation() {
    let mut agent = serving_agent();
    agent.confirm_evacuation(at(1), true);
    let inbound = agent.on_packet(at(1), &opening(1), &forward_header(&[3, 4], 0));
    assert_eq!(passed_on(&inbound).0, node(4));
    let last = agent.on_packet(at(1), &opening(1), &forward_header(&[4, 3], 1));
    assert_matches!(last.action, InboundAction::Refuse { .. });
    agent.confirm_evacuation(at(2), false);
    let taken = agent.on_packet(at(2), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(taken.action, InboundAction::Deliver { opening: true, .. });
}

/// Guards against a packet that the last agent of its list has to take or refuse, and which is lost or
/// taken because the data centre was evacuated on its way.
#[test]
fn a_packet_on_its_final_hop_visits_the_other_candidates_again() {
    let mut agent = serving_agent();
    agent.confirm_evacuation(at(0), true);
    let final_hop = ForwardHeader {
        is_final: true,
        ..forward_header(&[4, 3, 5], 2)
    };
    let inbound = agent.on_packet(at(1), &opening(1), &final_hop);
    let (to, header) = passed_on(&inbound);
    assert_eq!(to, node(4));
    assert_eq!(header.candidates.as_slice(), [node(3), node(4), node(5)]);
    assert_eq!((header.hop, header.is_final), (1, false));
}

/// Guards against copies that open a flow at the host, and packets of open flows that do not reach it.
#[test]
fn copies_are_not_delivered_and_packets_of_open_flows_are() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let half_open = agent.on_packet(at(4), &opening(2), &forward_header(&[3, 4], 0));
    assert_matches!(
        half_open.action,
        InboundAction::Deliver { opening: true, .. }
    );
    agent.confirm_evacuation(at(204), true);
    let copy = agent.on_packet(at(204), &opening(2), &forward_header(&[3, 4], 0));
    assert_eq!(passed_on(&copy).0, node(4));
    let late = agent.on_packet(at(205), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(late.action, InboundAction::Drop);
    // The caller of the half-open flow has got the answer of this host in the meantime.
    agent.on_host_packet(at(205), &answer(&opening(2), true, 0));
    for port in [1, 2] {
        let data = agent.on_packet(at(206), &data_packet(port), &forward_header(&[3], 0));
        assert_matches!(data.action, InboundAction::Deliver { opening: false, .. });
    }
    close_flow(&mut agent, 1);
}

/// Guards against a queued flow that reaches the host after the evacuation has begun, or that waits
/// although no slot can become free for it.
///
/// Also against a balancer that is not told where the flow went.
#[test]
fn queued_flows_leave_the_queue_when_an_evacuation_begins() {
    let mut agent = agent_with_queued_flow(&[3, 4, 5], 0);
    agent.confirm_evacuation(at(5), true);
    let released = agent.release(at(5));
    assert_eq!(released.len(), 1);
    let (to, header) = passed_on(&released[0].inbound);
    assert_eq!(to, node(4));
    assert!(agent.release(at(6)).is_empty());
    // The agent that takes the flow is not the one that the balancer knows.
    assert_eq!(header.candidates.as_slice().first(), Some(&node(3)));

    let mut alone = agent_with_queued_flow(&[3], 0);
    alone.confirm_evacuation(at(5), true);
    let released = alone.release(at(5));
    assert_matches!(released[0].inbound.action, InboundAction::Refuse { .. });
}

/// Guards against an agent that was paused and takes opening packets, also queued ones, that are older
/// than an evacuation which it has not read yet.
///
/// Also against one that takes none because a few hello messages are lost.
#[test]
fn a_paused_agent_takes_no_flow_before_the_next_hello() {
    let mut agent = agent_with_queued_flow(&[3, 4], 0);
    agent.confirm_evacuation(at(10), false);
    let late = agent.on_packet(at(1_000), &opening(20), &forward_header(&[3, 4], 0));
    assert_matches!(
        late.action,
        InboundAction::Forward {
            reason: ForwardReason::Busy,
            ..
        }
    );
    let paused = agent.on_packet(at(5_000), &opening(21), &forward_header(&[3, 4], 0));
    assert_matches!(
        paused.action,
        InboundAction::Forward { to, reason: ForwardReason::Outdated, .. } if to == node(4)
    );
    // The slots are free, but the caller has given the queued flow up.
    let released = agent.release(at(5_000));
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].inbound.action, InboundAction::Drop);
    // A hello message that was sent before the pause shows nothing.
    agent.confirm_evacuation(at(5_001), false);
    agent.on_host_packet(at(5_001), &answer(&opening(3), true, 0));
    let early = agent.on_packet(at(5_250), &opening(21), &forward_header(&[3], 0));
    assert_matches!(early.action, InboundAction::Drop, "the caller repeats it");
    agent.confirm_evacuation(at(5_301), false);
    let taken = agent.on_packet(at(5_302), &opening(21), &forward_header(&[3, 4], 0));
    assert_matches!(taken.action, InboundAction::Deliver { opening: true, .. });
}

/// Guards against a host that takes a full share of new flows although it has cooled down.
#[test]
fn a_host_counts_as_cold_after_the_end_until_the_next_heartbeat() {
    let mut agent = serving_agent();
    assert!(!agent.is_cold_after_evacuation());
    agent.confirm_evacuation(at(1_250), false);
    assert!(!agent.is_cold_after_evacuation(), "no evacuation has ended");
    agent.confirm_evacuation(at(100), true);
    agent.on_heartbeat(at(1_200), heartbeat("i-1", 100, 2));
    assert!(!agent.is_cold_after_evacuation());
    assert_eq!(agent.warmup(), Span::ZERO);
    agent.confirm_evacuation(at(1_250), false);
    assert!(agent.is_cold_after_evacuation());
    assert!(
        agent.warmup() >= Span::from_millis(1_200),
        "balancers are told"
    );
    // A late heartbeat tells nothing about the present.
    agent.on_heartbeat(at(1_300), heartbeat("i-1", 100, 2));
    assert!(agent.is_cold_after_evacuation());
    agent.on_heartbeat(at(2_400), heartbeat("i-1", 100, 3));
    assert!(!agent.is_cold_after_evacuation());
    assert_eq!(agent.warmup(), Span::ZERO);
}
