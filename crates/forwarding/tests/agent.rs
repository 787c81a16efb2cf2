//! What an agent does with packets, as a table of situations.

use assert_matches::assert_matches;
use usher_forwarding::{
    AgentPath, Best, Candidates, Flags, Head, Heard, HostState, HostWord, NodeId, Outbound, Passed,
    ServiceKey, Step, Trip,
};
use usher_types::{Sequence, Slots, Span, Time};

const SERVICE: &str = "namedesk";
const FLOW_LIFE: Span = Span::from_secs(60);

fn node(last: u8) -> NodeId {
    NodeId::new([10, 1, 0, last].into())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn word(id: &str, born: u64, sequence: u32) -> HostWord {
    HostWord {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        born,
        sequence: Sequence::new(sequence),
        slots: Slots::new(1),
        draining: false,
        warmup: Span::ZERO,
    }
}

fn agent() -> AgentPath {
    AgentPath::new(node(3), SERVICE, Time::ZERO, FLOW_LIFE)
}

// An agent that has run for longer than any flow lives, so it knows all flows of its host.
fn serving() -> AgentPath {
    let mut agent = AgentPath::new(node(3), SERVICE, Time::ZERO, Span::ZERO);
    agent.hear(at(0), word("i-1", 100, 1));
    agent
}

fn head(port: u16, flags: Flags) -> Head {
    Head {
        source: format!("100.64.0.7:{port}").parse().unwrap(),
        target: "198.18.0.1:443".parse().unwrap(),
        flags,
        sequence: 1,
        acknowledged: 0,
        data: 0,
        token: 0,
    }
}

fn opening(port: u16) -> Head {
    let opening = true;
    head(
        port,
        Flags {
            opening,
            ..Flags::default()
        },
    )
}

fn later(port: u16) -> Head {
    let acknowledging = true;
    let flags = Flags {
        acknowledging,
        ..Flags::default()
    };
    Head {
        acknowledged: 77,
        data: 10,
        ..head(port, flags)
    }
}

// What the backend server sends on the flow of a caller's packet.
fn answer(caller: &Head, opening: bool, data: u16) -> Head {
    let acknowledging = true;
    Head {
        source: caller.target,
        target: caller.source,
        flags: Flags {
            opening,
            acknowledging,
            ..Flags::default()
        },
        data,
        ..*caller
    }
}

fn returned(caller: &Head, token: u32) -> Head {
    let flags = Flags {
        returned: true,
        ..caller.flags
    };
    Head {
        flags,
        token,
        ..*caller
    }
}

fn trip(candidates: &[u8], hop: u8) -> Trip {
    let mut list = Candidates::default();
    for last in candidates {
        list.push(node(*last));
    }
    Trip {
        service: ServiceKey::of(SERVICE),
        origin: node(9),
        candidates: list,
        hop,
        best: None,
        budget: Span::from_millis(500),
        rank: 2,
        last: false,
    }
}

fn open(agent: &mut AgentPath, port: u16) {
    let caller = opening(port);
    let inbound = agent.on_packet(at(1), &caller, &trip(&[3, 4], 0));
    assert_matches!(inbound.step, Step::Deliver { opening: true, .. });
    agent.on_host_packet(at(1), &answer(&caller, true, 0));
    agent.on_packet(at(2), &later(port), &trip(&[3, 4], 0));
    agent.on_host_packet(at(3), &answer(&later(port), false, 0));
}

/// Guards against a flow that a restarted agent gives to a host that it has not heard.
#[test]
fn an_agent_takes_no_flow_before_the_first_heartbeat() {
    let inbound = agent().on_packet(at(1), &opening(1), &trip(&[3, 4], 0));
    assert_matches!(
        inbound.step,
        Step::Forward { to, reason: Passed::NotServing, .. } if to == node(4)
    );
}

/// Guards against new work for a backend server that leaves.
#[test]
fn a_leaving_backend_server_gets_no_new_flow_and_keeps_its_own() {
    let mut agent = serving();
    open(&mut agent, 1);
    let draining = HostWord {
        draining: true,
        ..word("i-1", 100, 2)
    };
    assert_eq!(agent.hear(at(10), draining).0, Heard::Changed);
    let inbound = agent.on_packet(at(11), &opening(2), &trip(&[3], 0));
    assert_matches!(inbound.step, Step::Refuse { .. });
    let inbound = agent.on_packet(at(11), &later(1), &trip(&[3], 0));
    assert_matches!(inbound.step, Step::Deliver { token: 0, .. });
}

/// Guards against a late heartbeat that takes a departure back, or revives an ended process.
#[test]
fn late_words_change_nothing() {
    let mut agent = serving();
    let draining = HostWord {
        draining: true,
        ..word("i-1", 100, 5)
    };
    agent.hear(at(10), draining);
    assert_eq!(agent.hear(at(11), word("i-1", 100, 4)).0, Heard::Late);
    assert_eq!(agent.state(), HostState::Draining);
    assert_eq!(agent.hear(at(12), word("i-2", 200, 1)).0, Heard::Started);
    assert_eq!(agent.hear(at(13), word("i-1", 100, 6)).0, Heard::Late);
    assert!(agent.leave(at(14), "i-1").is_none());
    assert_eq!(agent.state(), HostState::Serving);
}

/// Guards against a backend server whose clock stepped back and that is ignored for good.
#[test]
fn an_earlier_start_counts_once_the_later_process_is_silent() {
    let mut agent = serving();
    assert_eq!(agent.hear(at(1_000), word("i-2", 50, 1)).0, Heard::Late);
    assert_eq!(agent.hear(at(4_000), word("i-2", 50, 3)).0, Heard::Started);
    assert_eq!(agent.word().unwrap().id, "i-2");
}

/// Guards against callers that wait for a process that has been replaced.
#[test]
fn flows_of_an_earlier_process_are_given_up() {
    for later_word in [word("i-2", 200, 1), word("i-1", 200, 1)] {
        let mut agent = serving();
        open(&mut agent, 1);
        let (heard, gone) = agent.hear(at(2_600), later_word);
        assert_eq!(heard, Heard::Started);
        assert_eq!(gone, [(later(1).inbound(), 77)]);
    }
    let mut agent = serving();
    open(&mut agent, 1);
    assert_eq!(agent.leave(at(10), "i-1").map(|gone| gone.len()), Some(1));
}

/// Guards against a flow that a new process took before its first heartbeat, and that is reset or
/// passed on when the heartbeat comes.
#[test]
fn flows_that_a_new_process_may_hold_are_left_to_it() {
    let mut agent = serving();
    open(&mut agent, 1);
    let (heard, gone) = agent.hear(at(1_000), word("i-1", 200, 1));
    assert_eq!((heard, gone), (Heard::Started, Vec::new()));
    let inbound = agent.on_packet(at(1_001), &later(1), &trip(&[3, 4], 0));
    let token = assert_matches!(inbound.step, Step::Deliver { token, .. } => token);
    assert_ne!(token, 0, "the backend server may return the packet");
    let outbound = agent.on_host_packet(at(1_002), &returned(&later(1), token));
    let inward = assert_matches!(outbound, Outbound::Inward(inbound) => inbound);
    assert_matches!(inward.step, Step::Forward { .. });
}

/// Guards against a packet for one service that reaches another one at a reused address.
#[test]
fn an_opening_packet_of_another_service_is_passed_on() {
    let other = Trip {
        service: ServiceKey::of("pedigree"),
        ..trip(&[3, 4], 0)
    };
    let inbound = serving().on_packet(at(1), &opening(1), &other);
    assert_matches!(
        inbound.step,
        Step::Forward {
            reason: Passed::OtherService,
            ..
        }
    );
}

/// Guards against a busy host that queues a flow while another one is free, and against a flow
/// that is refused although a host could serve it in time.
#[test]
fn a_busy_host_passes_on_and_the_shortest_queue_takes_it() {
    let mut agent = serving();
    open(&mut agent, 1);
    open(&mut agent, 2);
    let busy = agent.on_packet(at(4), &opening(3), &trip(&[3, 4], 0));
    let passed = assert_matches!(
        busy.step,
        Step::Forward { to, trip, reason: Passed::Busy } if to == node(4) => trip
    );
    assert_eq!(passed.best.unwrap().node, node(3));
    // The other host is busier, so the flow comes back and is taken.
    let last = Trip {
        last: true,
        ..passed
    };
    let taken = agent.on_packet(at(5), &opening(3), &last);
    assert_matches!(taken.step, Step::Deliver { opening: true, .. });
}

/// Guards against a wait that the caller cannot use.
#[test]
fn a_flow_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut agent = serving();
    open(&mut agent, 1);
    open(&mut agent, 2);
    let hopeless = Trip {
        budget: Span::from_millis(5),
        best: Some(Best {
            node: node(4),
            wait: Span::from_millis(50),
        }),
        ..trip(&[4, 3], 1)
    };
    let inbound = agent.on_packet(at(4), &opening(3), &hopeless);
    assert_matches!(inbound.step, Step::Refuse { wait: Some(_), .. });
}

/// Guards against a returned packet that is lost, or goes to a host that has had it.
#[test]
fn a_returned_packet_goes_to_the_next_candidate() {
    let mut agent = serving();
    let caller = opening(1);
    let inbound = agent.on_packet(at(1), &caller, &trip(&[3, 4], 0));
    let token = assert_matches!(inbound.step, Step::Deliver { token, .. } => token);
    let outbound = agent.on_host_packet(at(2), &returned(&caller, token));
    let inward = assert_matches!(outbound, Outbound::Inward(inbound) => inbound);
    assert_matches!(
        inward.step,
        Step::Forward { to, reason: Passed::Returned, .. } if to == node(4)
    );
    let again = agent.on_host_packet(at(3), &returned(&caller, token));
    let inward = assert_matches!(again, Outbound::Inward(inbound) => inbound);
    assert_eq!(inward.step, Step::Drop, "a token counts once");
}

/// Guards against a restarted agent that loses or resets the flows of its living host.
#[test]
fn a_restarted_agent_lets_its_host_answer_for_older_flows() {
    let mut agent = agent();
    // A first heartbeat does not tell that there are no flows: the agent before may have given
    // some to a process that it had not heard.
    agent.hear(at(0), word("i-1", 100, 1));
    let inbound = agent.on_packet(at(1), &later(1), &trip(&[3, 4], 0));
    let token = assert_matches!(
        inbound.step,
        Step::Deliver { token, opening: false } if token != 0 => token
    );
    let outbound = agent.on_host_packet(at(2), &returned(&later(1), token));
    let inward = assert_matches!(outbound, Outbound::Inward(inbound) => inbound);
    assert_matches!(inward.step, Step::Forward { to, .. } if to == node(4));
    agent.on_host_packet(at(3), &answer(&later(2), false, 100));
    let inbound = agent.on_packet(at(4), &later(2), &trip(&[4, 3], 1));
    assert_matches!(inbound.step, Step::Deliver { token: 0, .. });
    assert_eq!(inbound.tell, Some(node(9)), "the balancer learns the host");
}

/// Guards against packets that reach hosts which do not hold their flow.
#[test]
fn a_flow_that_is_not_held_is_passed_on_to_the_end_of_the_trip() {
    let mut agent = serving();
    let inbound = agent.on_packet(at(1), &later(1), &trip(&[3, 4], 0));
    assert_matches!(
        inbound.step,
        Step::Forward {
            reason: Passed::NotHeld,
            ..
        }
    );
    let inbound = agent.on_packet(at(1), &later(1), &trip(&[4, 3], 1));
    assert_matches!(inbound.step, Step::Missing { origin, received: 77, .. } if origin == node(9));
}

/// Guards against new flows for a backend server that has died without a word.
#[test]
fn a_silent_backend_server_gets_one_trial_at_a_time() {
    let mut agent = serving();
    agent.on_packet(at(1), &opening(1), &trip(&[3, 4], 0));
    let inbound = agent.on_packet(at(200), &opening(2), &trip(&[3, 4], 0));
    assert_matches!(
        inbound.step,
        Step::Forward {
            reason: Passed::Silent,
            ..
        }
    );
    let trial = agent.on_packet(at(700), &opening(3), &trip(&[3, 4], 0));
    assert_matches!(trial.step, Step::Deliver { opening: true, .. });
    agent.on_host_packet(at(701), &answer(&opening(3), true, 0));
    assert!(agent.load(at(702)).working >= 1);
}

/// Guards against new flows for an agent that stops as planned.
#[test]
fn a_stopping_agent_takes_no_new_flow() {
    let mut agent = serving();
    agent.stop();
    let inbound = agent.on_packet(at(1), &opening(1), &trip(&[3, 4], 0));
    assert_matches!(inbound.step, Step::Forward { .. });
    assert_eq!(agent.state(), HostState::Draining);
}

/// Guards against a backend server that sheds what its agent could hold back, and against a read
/// that goes before a booking.
#[test]
fn flows_wait_for_a_slot_the_most_urgent_first() {
    let mut agent = serving();
    let last = |rank| Trip {
        rank,
        last: true,
        ..trip(&[3], 0)
    };
    for port in 1..=3 {
        let taken = agent.on_packet(at(1), &opening(port), &last(2));
        assert_matches!(taken.step, Step::Deliver { .. });
    }
    for (port, rank) in [(4, 2), (5, 1), (6, 2)] {
        let held = agent.on_packet(at(2), &opening(port), &last(rank));
        assert_eq!(held.step, Step::Hold);
    }
    let elsewhere = Trip {
        last: true,
        ..trip(&[4, 3], 1)
    };
    let held = agent.on_packet(at(2), &opening(7), &elsewhere);
    assert_eq!(held.tell, Some(node(9)), "copies have to come here");
    let copy = agent.on_packet(at(3), &opening(5), &last(1));
    assert_eq!(copy.step, Step::Drop, "it waits already");
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
            released[0].inbound.step,
            Step::Deliver { opening: true, .. }
        );
    }
}

/// Guards against a caller that waits for a slot which it can no longer use, and against flows that
/// wait for a backend server that leaves.
#[test]
fn waiting_flows_are_refused_when_waiting_is_of_no_use() {
    let busy = || {
        let mut agent = serving();
        let last = Trip {
            last: true,
            ..trip(&[3], 0)
        };
        for port in 1..=4 {
            agent.on_packet(at(1), &opening(port), &last);
        }
        agent
    };
    let mut agent = busy();
    for port in 1..=3 {
        agent.on_packet(at(2), &later(port), &trip(&[3], 0));
    }
    // The target of 500 ms less three mean times of work, counted from the arrival at 1 ms.
    assert_eq!(agent.release(at(440)), []);
    let released = agent.release(at(441));
    assert_matches!(released[0].inbound.step, Step::Refuse { .. });
    let mut agent = busy();
    let draining = HostWord {
        draining: true,
        ..word("i-1", 100, 2)
    };
    agent.hear(at(2), draining);
    let released = agent.release(at(2));
    assert_matches!(released[0].inbound.step, Step::Refuse { .. });
}

/// Guards against callers that have given up and hold the slots of a backend server: after an outage
/// nearly all opening packets are of that kind, and nobody was served.
#[test]
fn a_caller_that_does_not_follow_up_holds_no_slot() {
    let mut agent = serving();
    let last = Trip {
        last: true,
        ..trip(&[3], 0)
    };
    for port in 1..=3 {
        agent.on_packet(at(1), &opening(port), &last);
        agent.on_host_packet(at(1), &answer(&opening(port), true, 0));
    }
    assert_eq!(agent.on_packet(at(2), &opening(4), &last).step, Step::Hold);
    assert_eq!(agent.release(at(30)), []);
    let released = agent.release(at(31));
    assert_matches!(
        released[0].inbound.step,
        Step::Deliver { opening: true, .. }
    );
}
