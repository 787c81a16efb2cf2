//! Processes that start again after a backend server has left.

use std::fs;
use std::path::Path;

use usher_platform_standin::store::Faults;
use usher_platform_standin::{Deployment, SECOND_BALANCER, eventually, is_reset, receive};

/// Guards against a backend server that has left and is in use again after the agent beside it and the
/// balancers have started again.
#[test]
fn a_backend_server_that_left_gets_no_flow_after_restarts() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = Deployment::start(45, program, folder);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment.await_flow(1_000);
    assert_eq!(deployment.call_agent("DELETE", ""), 200);
    eventually("the caller is refused", || {
        deployment.send(&deployment.opening(2_000));
        receive(&deployment.caller).is_some_and(|packet| is_reset(&packet))
    });
    // The late heartbeat of a process that has left.
    assert_eq!(deployment.heartbeat("ready", 1), 200);
    let second = deployment.second_balancer(&[2]);
    deployment.replace_agent(&[]);
    eventually("the second balancer is ready", || {
        deployment.ready_at(SECOND_BALANCER) == 200
    });
    while receive(&deployment.backend).is_some() {}
    for port in 3_000..3_010 {
        deployment.send(&deployment.opening(port));
        deployment.send_at(SECOND_BALANCER, &deployment.opening(port + 100));
        assert_eq!(receive(&deployment.backend), None, "flow from port {port}");
    }
    drop(second);
}

/// Guards against a balancer that is not registered after its restart: the store refuses to create its
/// entry, which exists, and need not tell what the entry holds.
#[test]
fn a_balancer_registers_again_where_its_entry_exists() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let deployment = Deployment::start(79, program, folder);
    let log = folder.join(format!("node-79-{SECOND_BALANCER}.log"));
    drop(fs::remove_file(&log));
    let registered = || fs::read_to_string(&log).is_ok_and(|text| text.contains("MU-E2114"));
    let mut second = deployment.second_balancer(&[2]);
    eventually("the balancer is registered", registered);
    second.kill();
    fs::remove_file(&log).unwrap();
    deployment.store.set_faults(Faults {
        bare: true,
        ..Faults::default()
    });
    let _second = deployment.second_balancer(&[2]);
    eventually("the balancer is registered again", registered);
}
