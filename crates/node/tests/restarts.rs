//! Processes that start again after a backend server has left.

use std::path::Path;

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
