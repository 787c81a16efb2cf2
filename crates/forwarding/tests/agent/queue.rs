use assert_matches::assert_matches;
use usher_forwarding::{ForwardHeader, ForwardReason, HostHeartbeat, InboundAction, ShortestQueue};
use usher_types::Span;

use crate::fixture::{
    answer, at, data_packet, forward_header, heartbeat, node, open_flow, opening, serving_agent,
};

/// Guards against a busy host that queues a flow while another host is free.
///
/// Also against the refusal of a flow that a host could serve in time.
#[test]
fn a_busy_host_forwards_and_the_shortest_queue_accepts() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    open_flow(&mut agent, 2);
    let busy = agent.on_packet(at(4), &opening(3), &forward_header(&[3, 4], 0));
    let forwarded = assert_matches!(
        busy.action,
        InboundAction::Forward { to, forward_header, reason: ForwardReason::Busy }
            if to == node(4) => forward_header
    );
    assert_eq!(forwarded.shortest.unwrap().node, node(3));
    // The other host is busier, so the flow comes back and is accepted.
    let final_hop = ForwardHeader {
        is_final: true,
        ..forwarded
    };
    let taken = agent.on_packet(at(5), &opening(3), &final_hop);
    assert_matches!(taken.action, InboundAction::Deliver { opening: true, .. });
}

/// Guards against a wait that makes the answer useless to the caller.
#[test]
fn a_flow_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut agent = serving_agent();
    open_flow(&mut agent, 1);
    open_flow(&mut agent, 2);
    let short_budget = ForwardHeader {
        budget: Span::from_millis(5),
        shortest: Some(ShortestQueue {
            node: node(4),
            wait: Span::from_millis(50),
        }),
        ..forward_header(&[4, 3], 1)
    };
    let inbound = agent.on_packet(at(4), &opening(3), &short_budget);
    assert_matches!(inbound.action, InboundAction::Refuse { wait: Some(_), .. });
}

/// Guards against a backend server that rejects flows which its agent could queue.
///
/// Also against a flow that is served before one of a more urgent route.
#[test]
fn flows_wait_for_a_slot_the_most_urgent_first() {
    let mut agent = serving_agent();
    let final_hop = |rank| ForwardHeader {
        rank,
        is_final: true,
        ..forward_header(&[3], 0)
    };
    for port in 1..=3 {
        let taken = agent.on_packet(at(1), &opening(port), &final_hop(2));
        assert_matches!(taken.action, InboundAction::Deliver { .. });
    }
    for (port, rank) in [(4, 2), (5, 1), (6, 2)] {
        let held = agent.on_packet(at(2), &opening(port), &final_hop(rank));
        assert_eq!(held.action, InboundAction::Hold);
    }
    let elsewhere = ForwardHeader {
        is_final: true,
        ..forward_header(&[4, 3], 1)
    };
    let held = agent.on_packet(at(2), &opening(7), &elsewhere);
    assert_eq!(held.notify, Some(node(9)), "copies must be sent here");
    let copy = agent.on_packet(at(3), &opening(5), &final_hop(1));
    assert_eq!(
        copy.action,
        InboundAction::Drop,
        "the flow is already queued"
    );
    assert_eq!(agent.load(at(3)).working, 7);
    assert_eq!(agent.release(at(3)), []);
    for (answered, expected) in [(1, 5), (2, 4), (3, 6)] {
        let caller = opening(answered);
        agent.on_host_packet(at(4), &answer(&caller, true, 0));
        agent.on_host_packet(at(5), &answer(&caller, false, 100));
        let released = agent.release(at(5));
        assert_eq!(released.len(), 1);
        assert_eq!(released[0].flow, opening(expected).inbound());
        assert_matches!(
            released[0].inbound.action,
            InboundAction::Deliver { opening: true, .. }
        );
    }
}

/// Guards against flows that are queued for too long.
///
/// Also against flows that are queued for a draining backend server.
#[test]
fn queued_flows_are_refused_at_the_deadline_or_on_draining() {
    let busy = || {
        let mut agent = serving_agent();
        let final_hop = ForwardHeader {
            is_final: true,
            ..forward_header(&[3], 0)
        };
        for port in 1..=4 {
            agent.on_packet(at(1), &opening(port), &final_hop);
        }
        agent
    };
    let mut agent = busy();
    for port in 1..=3 {
        agent.on_packet(at(2), &data_packet(port), &forward_header(&[3], 0));
    }
    // The budget of 500 ms less three mean processing times, counted from the arrival at 1 ms.
    assert_eq!(agent.release(at(440)), []);
    let released = agent.release(at(441));
    assert_matches!(released[0].inbound.action, InboundAction::Refuse { .. });
    let mut agent = busy();
    let draining = HostHeartbeat {
        draining: true,
        ..heartbeat("i-1", 100, 2)
    };
    agent.on_heartbeat(at(2), draining);
    let released = agent.release(at(2));
    assert_matches!(released[0].inbound.action, InboundAction::Refuse { .. });
}

/// Guards against slots that stay taken by callers that have timed out.
///
/// After an outage nearly all opening packets come from such callers, and no caller was served.
#[test]
fn a_caller_that_does_not_follow_up_holds_no_slot() {
    let mut agent = serving_agent();
    let final_hop = ForwardHeader {
        is_final: true,
        ..forward_header(&[3], 0)
    };
    for port in 1..=3 {
        agent.on_packet(at(1), &opening(port), &final_hop);
        agent.on_host_packet(at(1), &answer(&opening(port), true, 0));
    }
    assert_eq!(
        agent.on_packet(at(2), &opening(4), &final_hop).action,
        InboundAction::Hold
    );
    assert_eq!(agent.release(at(30)), []);
    let released = agent.release(at(31));
    assert_matches!(
        released[0].inbound.action,
        InboundAction::Deliver { opening: true, .. }
    );
}
