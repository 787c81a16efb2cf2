//! Balancer and agent as real processes, with stand-ins for the services of the platform.

use std::path::Path;
use std::time::{Duration, Instant};

use usher_platform::{decode_header, encode_packet};
use usher_platform_standin::store::{Down, Faults};
use usher_platform_standin::{
    Deployment, SECOND_BALANCER, SERVICE, UNUSED_HOST, answer_header, eventually, is_reset, receive,
};

// A balancer that misses two readiness probes, which come twice a second, leaves the rotation.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

// The backend server's answer to the opening packet of a caller.
fn reply(opening: &[u8]) -> Vec<u8> {
    encode_packet(
        &answer_header(&decode_header(opening).unwrap(), true, 0),
        b"",
    )
}

fn start(net: u8) -> Deployment {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let deployment = Deployment::start(net, program, Path::new(env!("CARGO_TARGET_TMPDIR")));
    eventually("the balancer is ready", || deployment.ready() == 200);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment
}

/// Guards against packets that are lost or changed between the caller and the backend server.
#[test]
fn packets_pass_in_both_directions() {
    let deployment = start(11);
    let packet = deployment.await_flow(1_000);
    let mut sent = packet.clone();
    sent[14..18].fill(0);
    let port = u16::from_be_bytes([packet[0], packet[1]]);
    assert_eq!(sent, deployment.opening(port), "only the token may differ");
    let answer = reply(&packet);
    deployment.answer(&answer);
    assert_eq!(receive(&deployment.caller), Some(answer));
}

/// Guards against new flows to a draining backend server, and against callers that get no answer
/// when no host is left.
#[test]
fn a_leaving_backend_server_gets_no_flow_and_the_caller_a_reset() {
    let deployment = start(12);
    deployment.await_flow(1_000);
    assert_eq!(deployment.heartbeat("draining", 2), 200);
    while receive(&deployment.backend).is_some() {}
    eventually("the caller is refused", || {
        deployment.send(&deployment.opening(2_000));
        receive(&deployment.caller).is_some_and(|packet| is_reset(&packet))
    });
    assert_eq!(receive(&deployment.backend), None);
}

/// Guards against a dropped packet when the only host returns it: its caller must get a reset.
#[test]
fn a_flow_that_the_only_host_returns_is_refused() {
    let deployment = start(13);
    let mut returned = decode_header(&deployment.await_flow(1_000)).unwrap();
    returned.flags.returned = true;
    deployment.answer(&encode_packet(&returned, b""));
    let reset = decode_header(&receive(&deployment.caller).unwrap()).unwrap();
    assert!(reset.flags.resetting);
    assert_eq!(reset.target, returned.source);
}

/// Guards against a configuration that is not applied, or is lost when the store fails.
#[test]
fn configuration_takes_effect_and_outlives_the_store() {
    let deployment = start(14);
    deployment.await_flow(1_000);
    deployment.store.set_down(true);
    deployment.await_flow(2_000);
    deployment.store.set_down(false);
    deployment.store.configure("198.18.0.9", 443, SERVICE);
    deployment.await_no_route(3_000);
}

/// Guards against malformed input from outside that ends a process.
#[test]
fn malformed_input_ends_no_process() {
    let mut deployment = start(15);
    for length in [0, 1, 21, 30, 31, 500, 1_400] {
        deployment.send(&vec![0xff; length]);
        deployment.answer(&vec![0xff; length]);
    }
    assert_eq!(deployment.call_agent("PUT", "{"), 400);
    assert_eq!(deployment.call_agent("PATCH", "{}"), 404);
    deployment.await_flow(1_000);
    assert!(deployment.balancer.is_running() && deployment.agent.is_running());
}

/// Guards against a planned stop that drops traffic before the routers send it elsewhere.
#[test]
fn planned_stops_are_graceful() {
    let mut deployment = start(16);
    deployment.await_flow(1_000);
    deployment.balancer.terminate();
    eventually("the balancer is not ready", || deployment.ready() == 503);
    deployment.await_flow(2_000);
    assert!(deployment.balancer.is_running());
    assert!(deployment.balancer.exited_cleanly());
    deployment.agent.terminate();
    assert!(deployment.agent.exited_cleanly());
}

/// Guards against a balancer that watches from a version whose history the store has dropped.
#[test]
fn configuration_follows_a_dropped_history() {
    let deployment = start(17);
    deployment.await_flow(1_000);
    deployment.store.set_faults(Faults {
        forget: true,
        ..Faults::default()
    });
    deployment.store.configure("198.18.0.9", 443, SERVICE);
    deployment.await_no_route(2_000);
}

/// Guards against a configuration change that a balancer misses for good after a store fault.
#[test]
fn configuration_outlives_every_fault_of_the_store() {
    let delayed = Faults {
        delay_ms: 300,
        ..Faults::default()
    };
    let silent = Faults {
        down: Some(Down::Hang),
        ..Faults::default()
    };
    let stale = Faults {
        stale: true,
        ..Faults::default()
    };
    for (net, faults) in [(18, delayed), (19, silent), (20, stale)] {
        let deployment = start(net);
        deployment.await_flow(1_000);
        deployment.store.set_faults(faults);
        deployment.store.configure("198.18.0.9", 443, SERVICE);
        deployment.await_flow_or_reset(2_000);
        deployment.store.set_down(false);
        deployment.await_no_route(3_000);
    }
}

/// Guards against nodes that do not find each other while the store is down and most seeds no
/// longer exist.
#[test]
fn nodes_start_without_the_store_and_with_stale_seeds() {
    let mut deployment = start(21);
    deployment.await_flow(1_000);
    deployment.store.set_down(true);
    let seeds = [UNUSED_HOST, SECOND_BALANCER, 2];
    let second = deployment.second_balancer(&seeds);
    deployment.replace_agent(&seeds);
    eventually("the agent acknowledges heartbeats", || {
        deployment.heartbeat("ready", 2) == 200
    });
    eventually("the second balancer is ready", || {
        deployment.ready_at(SECOND_BALANCER) == 200
    });
    deployment.await_flow_at(SECOND_BALANCER, 2_000);
    drop(second);
}

/// Guards against a balancer that keeps outdated state after a suspension.
#[test]
fn a_suspended_balancer_catches_up() {
    let deployment = start(22);
    deployment.await_flow(1_000);
    deployment.balancer.set_suspended(true);
    deployment.store.configure("198.18.0.9", 443, SERVICE);
    std::thread::sleep(Duration::from_secs(3));
    deployment.balancer.set_suspended(false);
    let resumed = Instant::now();
    eventually("the balancer is ready", || deployment.ready() == 200);
    assert!(resumed.elapsed() < PROBE_LIMIT, "{:?}", resumed.elapsed());
    while receive(&deployment.backend).is_some() {}
    deployment.send(&deployment.opening(2_000));
    assert!(is_reset(&receive(&deployment.caller).unwrap()));
    assert_eq!(receive(&deployment.backend), None, "the route is gone");
}

/// Guards against a balancer that takes traffic after a pause as if nothing had changed meanwhile.
#[test]
fn a_paused_balancer_is_ready_with_the_newest_configuration() {
    let deployment = start(25);
    deployment.await_flow(1_000);
    deployment.balancer.set_suspended(true);
    std::thread::sleep(Duration::from_secs(3));
    deployment.store.configure("198.18.0.9", 443, SERVICE);
    // Changes do not reach the balancer before it asks for them.
    deployment.store.set_down(true);
    deployment.balancer.set_suspended(false);
    std::thread::sleep(Duration::from_secs(1));
    assert_ne!(
        deployment.ready(),
        200,
        "nothing has told the configuration"
    );
    deployment.store.set_down(false);
    eventually("the balancer is ready", || deployment.ready() == 200);
    while receive(&deployment.backend).is_some() {}
    deployment.send(&deployment.opening(2_000));
    assert!(is_reset(&receive(&deployment.caller).unwrap()));
    assert_eq!(receive(&deployment.backend), None);
}

/// Guards against flows that end because their agent was suspended or restarted.
#[test]
fn flows_outlive_their_agent() {
    let mut deployment = start(23);
    let packet = deployment.await_flow(1_000);
    let port = u16::from_be_bytes([packet[0], packet[1]]);
    let answer = reply(&packet);
    deployment.answer(&answer);
    let later = deployment.later_packet(port);
    deployment.agent.set_suspended(true);
    std::thread::sleep(Duration::from_secs(3));
    deployment.agent.set_suspended(false);
    deployment.await_packet(&later);
    deployment.replace_agent(&[]);
    eventually("the agent acknowledges heartbeats", || {
        deployment.heartbeat("ready", 3) == 200
    });
    deployment.await_packet(&later);
    while let Some(packet) = receive(&deployment.caller) {
        assert!(!is_reset(&packet), "an open flow was reset");
    }
}

/// Guards against a balancer that takes traffic before it knows the hosts of open flows.
#[test]
fn a_starting_balancer_knows_the_host_of_an_open_flow() {
    let deployment = start(24);
    let packet = deployment.await_flow(1_000);
    deployment.answer(&reply(&packet));
    let later = deployment.later_packet(u16::from_be_bytes([packet[0], packet[1]]));
    deployment.agent.set_suspended(true);
    let second = deployment.second_balancer(&[2]);
    eventually("the second balancer is ready", || {
        deployment.ready_at(SECOND_BALANCER) == 200
    });
    deployment.send_at(SECOND_BALANCER, &later);
    // The balancer decides on the packet before the agent can report to it.
    std::thread::sleep(Duration::from_millis(300));
    deployment.agent.set_suspended(false);
    eventually("the packet reaches the backend server", || {
        receive(&deployment.backend).is_some_and(|packet| packet[..4] == later[..4])
    });
    drop(second);
}
