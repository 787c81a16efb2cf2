//! Opening packets that wait in the socket of a paused node, as real processes.

use std::fs;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use usher_platform_standin::{Deployment, eventually, receive};

// Longer than a caller waits for its flow to open.
const LONG_PAUSE: Duration = Duration::from_millis(1_600);
// The last packet of an attempt is still of use after it.
const SHORT_PAUSE: Duration = Duration::from_millis(500);

fn start(net: u8) -> Deployment {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let deployment = Deployment::start(net, program, Path::new(env!("CARGO_TARGET_TMPDIR")));
    eventually("the balancer is ready", || deployment.ready() == 200);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment.await_flow(1_000);
    while receive(&deployment.backend).is_some() {}
    while receive(&deployment.caller).is_some() {}
    deployment
}

// Whether the backend server gets a packet of the port within a second.
fn arrives(deployment: &Deployment, port: u16) -> bool {
    let end = Instant::now() + Duration::from_secs(1);
    while Instant::now() < end {
        let packet = receive(&deployment.backend);
        if packet.is_some_and(|packet| packet[..2] == port.to_be_bytes()) {
            return true;
        }
    }
    false
}

/// Guards against an agent that delivers, passes on or refuses opening packets which waited while it was
/// paused: their flows may be open at other hosts.
#[test]
fn a_paused_agent_drops_opening_packets_that_are_given_up() {
    let deployment = start(73);
    deployment.agent.set_suspended(true);
    deployment.send(&deployment.opening(7_001));
    sleep(LONG_PAUSE);
    deployment.agent.set_suspended(false);
    assert!(!arrives(&deployment, 7_001));
    assert_eq!(receive(&deployment.caller), None, "the flow is refused");
    deployment.heartbeat("ready", 2);
    deployment.await_flow(8_000);
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join("node-73-3.log");
    assert!(fs::read_to_string(log).unwrap().contains("MU-E2206"));
}

/// Guards against a balancer that places such packets, perhaps at another host than that of the flow.
#[test]
fn a_paused_balancer_drops_opening_packets_that_are_given_up() {
    let deployment = start(74);
    deployment.balancer.set_suspended(true);
    deployment.send(&deployment.opening(7_001));
    sleep(LONG_PAUSE);
    deployment.balancer.set_suspended(false);
    assert!(!arrives(&deployment, 7_001));
    deployment.heartbeat("ready", 2);
    deployment.await_flow(8_000);
}

/// Guards against the loss of opening packets that are still of use.
#[test]
fn opening_packets_of_a_short_pause_are_delivered() {
    let deployment = start(75);
    deployment.agent.set_suspended(true);
    deployment.send(&deployment.opening(7_001));
    sleep(SHORT_PAUSE);
    deployment.agent.set_suspended(false);
    assert!(arrives(&deployment, 7_001));
}
