//! Entries of another writer among those of the system, as real processes meet them.

use std::fs;
use std::path::Path;

use usher_platform_standin::{Deployment, SECOND_BALANCER, SERVICE, eventually};

fn odd_entries() -> Vec<String> {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let named = |spec: &str| format!(r#"{{"meta":{{"name":"0","revision":1}},"spec":{spec}}}"#);
    vec![
        named(&deep),
        named("1e999"),
        named(r#"{"address":"127.0.0.1:70000"}"#),
        named(r#"{"address":"300.0.0.1"}"#),
        r#"{"meta":{"name":"1","revision":99999999999999999999},"spec":{}}"#.to_owned(),
        r#"{"meta":{"name":7}}"#.to_owned(),
        format!(r#"{{"meta":{{"name":"{}"}}}}"#, "x".repeat(100_000)),
        deep,
    ]
}

/// Guards against odd entries that end a process, or keep it from following the configuration and
/// from finding the balancers.
#[test]
fn odd_entries_stop_no_process() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = Deployment::start(36, program, folder);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment.await_flow(1_000);
    for kind in ["config", "balancers"] {
        for odd in odd_entries() {
            deployment.store.add_odd(kind, &odd);
        }
    }
    deployment.store.configure("198.18.0.9", 443, SERVICE);
    deployment.await_no_route(2_000);
    deployment.store.configure("198.18.0.1", 443, SERVICE);
    deployment.await_flow(3_000);
    deployment.replace_agent(&[]);
    let mut second = deployment.second_balancer(&[]);
    eventually("the second balancer is ready", || {
        deployment.ready_at(SECOND_BALANCER) == 200
    });
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 2) == 200
    });
    deployment.await_flow(4_000);
    deployment.await_flow_at(SECOND_BALANCER, 5_000);
    assert!(deployment.balancer.is_running() && deployment.agent.is_running());
    assert!(second.is_running());
    // The four that are no objects; both changes of the configuration brought them along.
    eventually("each odd entry is logged once", || {
        let log = fs::read_to_string(folder.join("node-36-2.log")).unwrap();
        let (_, since_start) = log.rsplit_once("MU-E2001").unwrap();
        let lines = since_start.matches("MU-E2118").count();
        let of_kind = since_start.matches("kind=configuration").count();
        assert!(of_kind <= 4 && lines <= 11, "{since_start}");
        let longest = since_start.lines().map(str::len).max();
        assert!(longest < Some(1_000), "a line quotes a name of any length");
        of_kind == 4
    });
}
