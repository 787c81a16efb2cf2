//! Balancers whose store comes back from a copy, as real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use usher_platform_standin::store::{ObjectTable, Store};
use usher_platform_standin::{Deployment, SECOND_BALANCER, SERVICE, eventually, receive};

const BALANCERS: &str = "balancers";
const ROUTE: (&str, u16, &str) = ("198.18.0.1", 443, SERVICE);
const OTHER_ROUTE: (&str, u16, &str) = ("198.18.0.9", 443, SERVICE);
// The platform's bound for a change of the configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

// Most of the time after which a balancer reads the list of balancers again.
const RELIST_TIME: Duration = Duration::from_secs(10);

fn start(net: u8) -> Deployment {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let deployment = Deployment::start(net, program, Path::new(env!("CARGO_TARGET_TMPDIR")));
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment.await_flow(1_000);
    deployment
}

// A copy that was made before any balancer registered.
fn early_copy(store: &Store) -> ObjectTable {
    let now = store.copy();
    let document = now.get("config", "main").unwrap().spec.clone();
    let mut copy = ObjectTable::default();
    copy.create("config", "main", document).unwrap();
    copy
}

fn restore(store: &Store, copy: ObjectTable, meanwhile: impl FnOnce()) {
    store.set_down(true);
    std::thread::sleep(Duration::from_millis(500));
    store.restore(copy);
    meanwhile();
    store.set_down(false);
}

// No balancer may forward a flow while the route is gone.
fn refuse_flows(deployment: &Deployment, hosts: &[u8], ports: std::ops::Range<u16>) {
    while receive(&deployment.backend).is_some() {}
    for port in ports {
        for host in hosts {
            deployment.send_at(*host, &deployment.opening(port));
        }
        assert_eq!(receive(&deployment.backend), None, "an older route is back");
    }
    while receive(&deployment.caller).is_some() {}
}

/// Guards against a restored store that brings an older configuration back, or whose next change is
/// ignored because its revision is smaller.
#[test]
fn a_restored_store_brings_no_older_route_back() {
    let deployment = start(31);
    let store = &deployment.store;
    let copy = early_copy(store);
    for port in 444..460 {
        store.configure_label(8, &[("198.18.0.9", port, SERVICE)]);
    }
    store.configure_label(8, &[OTHER_ROUTE]);
    deployment.await_no_route(2_000);
    restore(store, copy, || {});
    refuse_flows(&deployment, &[2], 3_000..3_010);
    let second = deployment.second_balancer(&[2]);
    deployment.await_no_route_at(SECOND_BALANCER, 4_000);
    refuse_flows(&deployment, &[2, SECOND_BALANCER], 5_000..5_010);
    store.configure_label(8, &[OTHER_ROUTE]);
    refuse_flows(&deployment, &[2, SECOND_BALANCER], 6_000..6_010);
    // The backend server of this test answers no packet, so only heartbeats show that it runs.
    assert_eq!(deployment.heartbeat("ready", 2), 200);
    store.configure_label(9, &[ROUTE]);
    let written = Instant::now();
    deployment.await_flow(7_000);
    deployment.await_flow_at(SECOND_BALANCER, 8_000);
    assert!(written.elapsed() < APPLY_LIMIT, "{:?}", written.elapsed());
    drop(second);
}

/// Guards against a balancer that takes traffic with the older configuration of a restored store.
#[test]
fn a_starting_balancer_is_ready_with_the_newest_configuration() {
    let deployment = start(35);
    let store = &deployment.store;
    let copy = early_copy(store);
    store.configure_label(8, &[OTHER_ROUTE]);
    deployment.await_no_route(2_000);
    restore(store, copy, || {});
    let second = deployment.second_balancer(&[2]);
    // The balancer is asked often, to see it at the moment at which it gets ready.
    let started = Instant::now();
    while deployment.ready_at(SECOND_BALANCER) != 200 {
        assert!(started.elapsed() < RELIST_TIME, "the balancer is not ready");
        std::thread::sleep(Duration::from_millis(5));
    }
    refuse_flows(&deployment, &[SECOND_BALANCER], 3_000..3_010);
    drop(second);
}

/// Guards against a change that is missed because its revision is one that was lost.
#[test]
fn a_revision_that_is_given_out_again_hides_no_change() {
    let deployment = start(32);
    let store = &deployment.store;
    let copy = store.copy();
    store.configure_label(8, &[ROUTE, ("198.18.0.2", 443, SERVICE)]);
    std::thread::sleep(Duration::from_millis(500));
    restore(store, copy, || store.configure_label(9, &[OTHER_ROUTE]));
    let written = Instant::now();
    deployment.await_no_route(2_000);
    assert!(written.elapsed() < APPLY_LIMIT, "{:?}", written.elapsed());
}

/// Guards against a balancer whose entry was removed by mistake and that registers only at its start.
#[test]
fn a_removed_entry_is_written_again() {
    let deployment = start(34);
    let store = &deployment.store;
    eventually("the balancer is registered", || {
        store.names(BALANCERS) == ["node-2"]
    });
    store.remove(BALANCERS, "node-2");
    std::thread::sleep(RELIST_TIME);
    eventually("the balancer is registered again", || {
        store.names(BALANCERS) == ["node-2"]
    });
}

/// Guards against balancers that the store has lost and that no process finds there again.
#[test]
fn balancers_register_again_in_a_restored_store() {
    let deployment = start(33);
    let store = &deployment.store;
    eventually("the balancer is registered", || {
        store.names(BALANCERS) == ["node-2"]
    });
    for _ in 0..2 {
        restore(store, early_copy(store), || {});
        assert!(store.names(BALANCERS).is_empty());
        let restored = Instant::now();
        eventually("the balancer is registered again", || {
            store.names(BALANCERS) == ["node-2"]
        });
        assert!(restored.elapsed() < APPLY_LIMIT, "{:?}", restored.elapsed());
    }
}
