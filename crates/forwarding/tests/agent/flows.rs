use assert_matches::assert_matches;
use usher_forwarding::{
    ForwardHeader, ForwardReason, HeartbeatEffect, HostHeartbeat, HostIdentity, HostState,
    InboundAction, Outbound, PacketHeader, ServiceKey,
};

use crate::fixture::{
    FLOW_LIFE, agent, answer, at, close_flow, data_packet, forward_header, heartbeat, identity,
    node, open_flow, opening, returned, serving_agent,
};

/// Guards against a restarted agent that delivers new flows before a heartbeat.
#[test]
fn an_agent_takes_no_flow_before_the_first_heartbeat() {
    let inbound = agent().on_packet(at(1), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(
        inbound.action,
        InboundAction::Forward { to, reason: ForwardReason::NotServing, .. } if to == node(4)
    );
}

/// Guards against new flows for a draining backend server.
///
/// Also against the loss of its open flows.
#[test]
fn a_draining_backend_server_gets_no_new_flow_and_keeps_its_flows() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let draining = HostHeartbeat {
        draining: true,
        ..heartbeat("i-1", 100, 2)
    };
    assert_eq!(
        agent.on_heartbeat(at(10), draining).0,
        HeartbeatEffect::Changed
    );
    let inbound = agent.on_packet(at(11), &opening(2), &forward_header(&[3], 0));
    assert_matches!(inbound.action, InboundAction::Refuse { .. });
    let inbound = agent.on_packet(at(11), &data_packet(1), &forward_header(&[3], 0));
    assert_matches!(inbound.action, InboundAction::Deliver { token: 0, .. });
}

/// Guards against a heartbeat of another writer that ends the open flows of a living host.
///
/// Also against one that keeps the agent from hearing its host, or a restart of it, from then on.
#[test]
fn heartbeats_of_other_writers_change_nothing() {
    let sound = heartbeat("i-9", 900, 1);
    let with_host = |host| HostHeartbeat {
        host,
        ..sound.clone()
    };
    let other_writers = [
        with_host(HostIdentity {
            service: "pedigree".to_owned(),
            ..identity()
        }),
        with_host(HostIdentity {
            address: "10.1.0.4:8080".parse().unwrap(),
            ..identity()
        }),
        with_host(HostIdentity {
            centre: "howrah".parse().unwrap(),
            ..identity()
        }),
        heartbeat("i-1", 100, u32::MAX),
    ];
    for other in other_writers {
        let mut agent = serving_agent();
        open_flow(&mut agent, 1);
        let (effect, lost_flows) = agent.on_heartbeat(at(1_000), other);
        assert_eq!(effect, HeartbeatEffect::Foreign);
        assert_eq!(lost_flows, []);
        let inbound = agent.on_packet(at(1_001), &data_packet(1), &forward_header(&[3], 0));
        assert_matches!(inbound.action, InboundAction::Deliver { token: 0, .. });
        let next = agent.on_heartbeat(at(1_200), heartbeat("i-1", 100, 2));
        assert_eq!(next.0, HeartbeatEffect::Confirmed);
        let restarted = agent.on_heartbeat(at(1_300), sound.clone());
        assert_eq!(restarted.0, HeartbeatEffect::Started);
    }
}

/// Guards against a late heartbeat that cancels draining or brings back an ended process.
#[test]
fn late_heartbeats_change_nothing() {
    let mut agent = serving_agent();
    let draining = HostHeartbeat {
        draining: true,
        ..heartbeat("i-1", 100, 5)
    };
    agent.on_heartbeat(at(10), draining);
    assert_eq!(
        agent.on_heartbeat(at(11), heartbeat("i-1", 100, 4)).0,
        HeartbeatEffect::Late
    );
    assert_eq!(agent.state(), HostState::Draining);
    assert_eq!(
        agent.on_heartbeat(at(12), heartbeat("i-2", 200, 1)).0,
        HeartbeatEffect::Started
    );
    assert_eq!(
        agent.on_heartbeat(at(13), heartbeat("i-1", 100, 6)).0,
        HeartbeatEffect::Late
    );
    assert!(agent.on_leave(at(14), "i-1").is_none());
    assert_eq!(agent.state(), HostState::Serving);
}

/// Guards against ignoring a backend server whose clock stepped back.
#[test]
fn an_earlier_start_counts_once_the_later_process_is_silent() {
    let mut agent = serving_agent();
    assert_eq!(
        agent.on_heartbeat(at(1_000), heartbeat("i-2", 50, 1)).0,
        HeartbeatEffect::Late
    );
    assert_eq!(
        agent.on_heartbeat(at(4_000), heartbeat("i-2", 50, 3)).0,
        HeartbeatEffect::Started
    );
    assert_eq!(agent.heartbeat().unwrap().id, "i-2");
}

/// Guards against callers that wait for a process that has been replaced.
#[test]
fn flows_of_an_earlier_process_are_reported_lost() {
    for later_heartbeat in [heartbeat("i-2", 200, 1), heartbeat("i-1", 200, 1)] {
        let mut agent = serving_agent();
        open_flow(&mut agent, 1);
        let (effect, lost) = agent.on_heartbeat(at(2_600), later_heartbeat);
        assert_eq!(effect, HeartbeatEffect::Started);
        assert_eq!(lost, [(data_packet(1).inbound(), 77)]);
    }
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    assert_eq!(
        agent.on_leave(at(10), "i-1").map(|lost| lost.len()),
        Some(1)
    );
}

/// Guards against the reset of a flow that a new process may hold.
///
/// The new process may have taken flows before its first heartbeat arrived.
#[test]
fn flows_that_a_new_process_may_hold_are_not_reset() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let (effect, lost) = agent.on_heartbeat(at(1_000), heartbeat("i-1", 200, 1));
    assert_eq!((effect, lost), (HeartbeatEffect::Started, Vec::new()));
    let inbound = agent.on_packet(at(1_001), &data_packet(1), &forward_header(&[3, 4], 0));
    let token = assert_matches!(inbound.action, InboundAction::Deliver { token, .. } => token);
    assert_ne!(token, 0, "the backend server may return the packet");
    let outbound = agent.on_host_packet(at(1_002), &returned(&data_packet(1), token));
    let decision = assert_matches!(outbound, Outbound::Returned(inbound) => inbound);
    assert_matches!(decision.action, InboundAction::Forward { .. });
}

/// Guards against the reset of a flow that is open on another host.
///
/// A late copy of its opening packet reached this agent. The backend server answered the copy, and
/// then ended.
#[test]
fn a_late_copy_of_an_opening_packet_causes_no_reset() {
    let begin = || {
        let mut agent = serving_agent();
        agent.on_packet(at(1), &opening(1), &forward_header(&[3, 4], 0));
        agent.on_host_packet(at(2), &answer(&opening(1), true, 0));
        agent.on_packet(at(3), &opening(1), &forward_header(&[3, 4], 0));
        agent
    };
    let mut agent = begin();
    let (effect, lost) = agent.on_heartbeat(at(5_000), heartbeat("i-2", 200, 1));
    assert_eq!((effect, lost), (HeartbeatEffect::Started, Vec::new()));
    assert_eq!(begin().on_leave(at(5_000), "i-1"), Some(Vec::new()));
    // The caller's next packet shows that the flow is here.
    let mut agent = begin();
    agent.on_packet(at(4), &data_packet(1), &forward_header(&[3, 4], 0));
    assert_eq!(agent.on_leave(at(5_000), "i-1").unwrap().len(), 1);
}

/// Guards against delivery to another service at a reused address.
#[test]
fn an_opening_packet_of_another_service_is_forwarded() {
    let other = ForwardHeader {
        service: ServiceKey::of("pedigree"),
        ..forward_header(&[3, 4], 0)
    };
    let inbound = serving_agent().on_packet(at(1), &opening(1), &other);
    assert_matches!(
        inbound.action,
        InboundAction::Forward {
            reason: ForwardReason::OtherService,
            ..
        }
    );
}

/// Guards against a returned packet that is lost or visits a host twice.
#[test]
fn a_returned_packet_goes_to_the_next_candidate() {
    let mut agent = serving_agent();
    let caller = opening(1);
    let inbound = agent.on_packet(at(1), &caller, &forward_header(&[3, 4], 0));
    let token = assert_matches!(inbound.action, InboundAction::Deliver { token, .. } => token);
    let outbound = agent.on_host_packet(at(2), &returned(&caller, token));
    let decision = assert_matches!(outbound, Outbound::Returned(inbound) => inbound);
    assert_matches!(
        decision.action,
        InboundAction::Forward { to, reason: ForwardReason::Returned, .. } if to == node(4)
    );
    let again = agent.on_host_packet(at(3), &returned(&caller, token));
    let decision = assert_matches!(again, Outbound::Returned(inbound) => inbound);
    assert_eq!(
        decision.action,
        InboundAction::Drop,
        "a token is valid once"
    );
}

/// Guards against a restarted agent that loses or resets flows of its host.
#[test]
fn a_restarted_agent_lets_its_host_answer_for_older_flows() {
    let mut agent = agent();
    // The backend server may hold flows even before its first heartbeat: the previous agent process
    // may have delivered some.
    agent.on_heartbeat(at(0), heartbeat("i-1", 100, 1));
    let inbound = agent.on_packet(at(1), &data_packet(1), &forward_header(&[3, 4], 0));
    let token = assert_matches!(
        inbound.action,
        InboundAction::Deliver { token, opening: false } if token != 0 => token
    );
    let outbound = agent.on_host_packet(at(2), &returned(&data_packet(1), token));
    let decision = assert_matches!(outbound, Outbound::Returned(inbound) => inbound);
    assert_matches!(decision.action, InboundAction::Forward { to, .. } if to == node(4));
    agent.on_host_packet(at(3), &answer(&data_packet(2), false, 100));
    let inbound = agent.on_packet(at(4), &data_packet(2), &forward_header(&[4, 3], 1));
    assert_matches!(inbound.action, InboundAction::Deliver { token: 0, .. });
    assert_eq!(
        inbound.notify,
        Some(node(9)),
        "the balancer learns the host"
    );
}

/// Guards against the loss of packets at hosts that do not hold their flow.
#[test]
fn a_flow_that_is_not_held_is_forwarded_to_the_last_candidate() {
    let mut agent = serving_agent();
    let inbound = agent.on_packet(at(1), &data_packet(1), &forward_header(&[3, 4], 0));
    assert_matches!(
        inbound.action,
        InboundAction::Forward {
            reason: ForwardReason::NotHeld,
            ..
        }
    );
    let inbound = agent.on_packet(at(1), &data_packet(1), &forward_header(&[4, 3], 1));
    assert_matches!(
        inbound.action,
        InboundAction::Missing { origin, visited }
            if origin == node(9) && visited.as_slice() == [node(4), node(3)]
    );
}

/// Guards against new flows for a backend server that stopped without notice.
#[test]
fn a_silent_backend_server_gets_one_trial_at_a_time() {
    let mut agent = serving_agent();
    agent.on_packet(at(1), &opening(1), &forward_header(&[3, 4], 0));
    let inbound = agent.on_packet(at(200), &opening(2), &forward_header(&[3, 4], 0));
    assert_matches!(
        inbound.action,
        InboundAction::Forward {
            reason: ForwardReason::Silent,
            ..
        }
    );
    let trial = agent.on_packet(at(700), &opening(3), &forward_header(&[3, 4], 0));
    assert_matches!(trial.action, InboundAction::Deliver { opening: true, .. });
    agent.on_host_packet(at(701), &answer(&opening(3), true, 0));
    assert!(agent.load(at(702)).working >= 1);
}

/// Guards against callers that wait at a backend server that is gone, on trials that repeat for as long as
/// the agent runs.
#[test]
fn a_backend_server_without_heartbeats_gets_no_trial() {
    let mut agent = serving_agent();
    agent.on_packet(at(2_000), &opening(1), &forward_header(&[3, 4], 0));
    for millis in [2_800, 3_600, 60_000] {
        let header = forward_header(&[3, 4], 0);
        let inbound = agent.on_packet(at(millis), &opening(millis as u16), &header);
        assert_matches!(
            inbound.action,
            InboundAction::Forward {
                reason: ForwardReason::Silent,
                ..
            },
            "{millis}"
        );
    }
    agent.on_heartbeat(at(60_001), heartbeat("i-1", 100, 2));
    let trial = agent.on_packet(at(60_002), &opening(5), &forward_header(&[3, 4], 0));
    assert_matches!(trial.action, InboundAction::Deliver { opening: true, .. });
}

/// Guards against new flows at an agent that is shutting down.
#[test]
fn a_stopping_agent_takes_no_new_flow() {
    let mut agent = serving_agent();
    agent.stop();
    let inbound = agent.on_packet(at(1), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(inbound.action, InboundAction::Forward { .. });
    assert_eq!(agent.state(), HostState::Draining);
}

/// Guards against a balancer that searches again for a flow that the first agent holds.
#[test]
fn the_first_agent_of_a_search_tells_that_it_holds_the_flow() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let mut searched = forward_header(&[3, 4], 0);
    searched.service = ServiceKey::from_bits(0);
    let inbound = agent.on_packet(at(10), &data_packet(1), &searched);
    assert_eq!(inbound.notify, Some(node(9)));
    let mut cached = forward_header(&[3], 0);
    cached.service = ServiceKey::from_bits(0);
    let inbound = agent.on_packet(at(10), &data_packet(1), &cached);
    assert_eq!(inbound.notify, None);
    let mut alone = cached;
    alone.is_final = true;
    let inbound = agent.on_packet(at(10), &data_packet(1), &alone);
    assert_eq!(inbound.notify, Some(node(9)), "the only agent of a search");
}

/// Guards against a new flow from a port that was in use before and is taken for the old one: its opening
/// packet reached a backend server that drains, and its packets were searched for elsewhere.
#[test]
fn a_reused_port_opens_a_new_flow() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    close_flow(&mut agent, 1);
    let again = agent.on_packet(at(2_000), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(again.action, InboundAction::Deliver { opening: true, token } if token != 0);
    agent.on_host_packet(at(2_001), &answer(&opening(1), true, 0));
    agent.on_host_packet(at(2_003), &answer(&data_packet(1), false, 0));
    assert_eq!(agent.open(), 1);
    agent.expire(at(7_000), FLOW_LIFE);
    let later = agent.on_packet(at(7_000), &data_packet(1), &forward_header(&[3], 0));
    assert_matches!(later.action, InboundAction::Deliver { token: 0, .. });
    close_flow(&mut agent, 1);
    let draining = HostHeartbeat {
        draining: true,
        ..heartbeat("i-1", 100, 2)
    };
    agent.on_heartbeat(at(8_000), draining);
    let refused = agent.on_packet(at(8_001), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(
        refused.action,
        InboundAction::Forward { to, reason: ForwardReason::NotServing, .. } if to == node(4)
    );
    let late = agent.on_packet(at(8_002), &data_packet(1), &forward_header(&[3], 0));
    assert_matches!(
        late.action,
        InboundAction::Deliver { opening: false, .. },
        "late packets of the old flow go to its host"
    );
}

// A packet of a later flow from the same port, whose first sequence is another one or the same.
fn later(packet: PacketHeader, same: bool) -> PacketHeader {
    let sequence = if same { packet.sequence } else { 1_000_000_000 };
    PacketHeader { sequence, ..packet }
}

/// Guards against a reset of a flow at another host, whose port an abandoned flow used before.
#[test]
fn a_returned_packet_of_a_later_flow_resets_nothing() {
    for (complete, same) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut agent = if complete { serving_agent() } else { agent() };
        agent.on_heartbeat(at(0), heartbeat("i-1", 100, 1));
        open_flow(&mut agent, 1);
        let now = at(20_000);
        agent.on_heartbeat(now, heartbeat("i-1", 100, 2));
        let packet = later(data_packet(1), same);
        let mut inbound = agent.on_packet(now, &packet, &forward_header(&[3, 4], 0));
        if let InboundAction::Deliver { token, .. } = inbound.action {
            let outbound = agent.on_host_packet(now, &returned(&packet, token));
            inbound = assert_matches!(outbound, Outbound::Returned(inbound) => inbound);
        }
        assert_matches!(inbound.action, InboundAction::Forward { to, .. } if to == node(4));
    }
}

/// Guards against a later flow of a port that reaches a draining backend server as a copy.
#[test]
fn a_port_in_use_again_opens_no_flow_at_a_draining_backend_server() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    let draining = HostHeartbeat {
        draining: true,
        ..heartbeat("i-1", 100, 2)
    };
    agent.on_heartbeat(at(700), draining);
    let copy = agent.on_packet(at(701), &opening(1), &forward_header(&[3, 4], 0));
    assert_matches!(copy.action, InboundAction::Deliver { .. });
    for (millis, same) in [(800, false), (20_000, true)] {
        let next = later(opening(1), same);
        let next = agent.on_packet(at(millis), &next, &forward_header(&[3, 4], 0));
        assert_matches!(
            next.action,
            InboundAction::Forward { to, reason: ForwardReason::NotServing, .. } if to == node(4)
        );
    }
}

/// Guards against a flow that its agent forgets when one copy of its opening packet is returned.
#[test]
fn a_returned_copy_does_not_end_the_flow_that_another_copy_opened() {
    let mut agent = serving_agent();
    let now = at(61_000);
    let first = agent.on_packet(now, &opening(1), &forward_header(&[3, 4], 0));
    let token = assert_matches!(first.action, InboundAction::Deliver { token, .. } => token);
    let copy = PacketHeader {
        acknowledged: 1,
        ..opening(1)
    };
    agent.on_packet(now, &copy, &forward_header(&[3, 4], 0));
    agent.on_host_packet(now, &returned(&opening(1), token));
    agent.on_host_packet(now, &answer(&copy, true, 0));
    let inbound = agent.on_packet(now, &data_packet(1), &forward_header(&[3, 4], 0));
    assert_matches!(inbound.action, InboundAction::Deliver { .. });
}
