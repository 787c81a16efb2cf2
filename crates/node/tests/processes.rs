//! Balancer and agent as real processes, with stand-ins for all that the platform gives.

use std::path::Path;

use usher_platform_standin::{SERVICE, World, eventually, receive};

const RETURNED: u8 = 1;
const RESETTING: u8 = 4;
const OPENING: u8 = 8;
const ACKNOWLEDGING: u8 = 64;

// The backend server's packet on the flow of a caller's packet.
fn reply(packet: &[u8], flags: u8) -> Vec<u8> {
    let mut answer = packet.to_vec();
    answer[0..2].copy_from_slice(&packet[2..4]);
    answer[2..4].copy_from_slice(&packet[0..2]);
    answer[4..8].copy_from_slice(&packet[8..12]);
    answer[8..12].copy_from_slice(&packet[4..8]);
    answer[14..18].fill(0);
    answer[18] = flags;
    answer
}

fn start(net: u8) -> World {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let world = World::start(net, program, Path::new(env!("CARGO_TARGET_TMPDIR")));
    eventually("the balancer is ready", || world.ready() == 200);
    eventually("a heartbeat is acknowledged", || {
        world.heartbeat("ready", 1) == 200
    });
    world
}

/// Guards against a path that does not carry a packet there and back, unchanged.
#[test]
fn a_flow_goes_there_and_back() {
    let world = start(11);
    let packet = world.await_flow(1_000);
    let mut sent = packet.clone();
    sent[14..18].fill(0);
    let port = u16::from_be_bytes([packet[0], packet[1]]);
    assert_eq!(sent, world.opening(port), "only the token may differ");
    let answer = reply(&packet, OPENING | ACKNOWLEDGING);
    world.answer(&answer);
    assert_eq!(receive(&world.caller), Some(answer));
}

/// Guards against a leaving backend server that gets new flows, and against a caller that waits
/// for nobody.
#[test]
fn a_leaving_backend_server_gets_no_flow_and_the_caller_a_reset() {
    let world = start(12);
    world.await_flow(1_000);
    assert_eq!(world.heartbeat("draining", 2), 200);
    while receive(&world.backend).is_some() {}
    eventually("the caller is refused", || {
        world.send(&world.opening(2_000));
        receive(&world.caller).is_some_and(|packet| packet[18] == RESETTING)
    });
    assert_eq!(receive(&world.backend), None);
}

/// Guards against a returned packet that is lost when no other host is there.
#[test]
fn a_flow_that_the_only_host_returns_is_refused() {
    let world = start(13);
    let mut packet = world.await_flow(1_000);
    packet[18] |= RETURNED;
    world.answer(&packet);
    let reset = receive(&world.caller).unwrap();
    assert_eq!(reset[18], RESETTING);
    assert_eq!(reset[2..4], packet[0..2]);
}

/// Guards against a configuration that does not take effect, or is lost with the store.
#[test]
fn configuration_takes_effect_and_outlives_the_store() {
    let world = start(14);
    world.await_flow(1_000);
    world.store.set_down(true);
    world.await_flow(2_000);
    world.store.set_down(false);
    world.store.configure("198.18.0.9", 443, SERVICE);
    eventually("the route is gone", || {
        world.send(&world.opening(3_000));
        receive(&world.caller).is_some_and(|packet| packet[18] == RESETTING)
    });
}

/// Guards against input of strangers that ends a process.
#[test]
fn malformed_input_ends_nothing() {
    let mut world = start(15);
    for length in [0, 1, 21, 30, 31, 500, 1_400] {
        world.send(&vec![0xff; length]);
        world.answer(&vec![0xff; length]);
    }
    assert_eq!(world.call_agent("PUT", "{"), 400);
    assert_eq!(world.call_agent("PATCH", "{}"), 404);
    world.await_flow(1_000);
    assert!(world.balancer.is_running() && world.agent.is_running());
}

/// Guards against a planned stop that cuts traffic off before it is turned away.
#[test]
fn planned_stops_are_graceful() {
    let mut world = start(16);
    world.await_flow(1_000);
    world.balancer.terminate();
    eventually("the balancer is not ready", || world.ready() == 503);
    world.await_flow(2_000);
    assert!(world.balancer.is_running());
    assert!(world.balancer.ended_well());
    world.agent.terminate();
    assert!(world.agent.ended_well());
}
