//! Commands that query processes: `apply --wait`, `status`, `drain` and `report burn`.

use std::thread;
use std::time::Duration;

use serde_json::{Value as Json, json};
use usher_cli::ExitStatus;

use crate::fake::{FakeProcess, list_balancer, list_hosts, status, unused_address};
use crate::shell::Shell;

const DOCUMENT: &str = r#"{
    "profiles": { "fast": { "objective": 0.9 } },
    "services": { "desk": { "address": "192.0.2.1:80", "profile": "fast" } }
}"#;
// A version above every one that these tests write.
const NEWEST: u64 = 1_000;

// Guards against an `apply --wait` that returns before the slowest process has the configuration.
#[test]
fn apply_waits_for_the_last_process() {
    let shell = Shell::new("wait");
    let (fast, slow) = (
        FakeProcess::new(status(NEWEST)),
        FakeProcess::new(status(0)),
    );
    list_balancer(&shell, "entry-1", fast.admin);
    list_hosts(&shell, "desk", &[("desk-1", slow.admin)]);
    let file = shell.file("desk.json", DOCUMENT);
    let waiting = thread::spawn(move || (shell.run(&format!("apply {file} --wait")), shell));
    thread::sleep(Duration::from_millis(400));
    assert!(!waiting.is_finished());
    slow.set("revision", json!(NEWEST));
    let ((found, text), _shell) = waiting.join().unwrap();
    assert_eq!(found, ExitStatus::Ok, "{text}");
}

// Guards against a rollout reported as complete while a process lags or does not answer.
#[test]
fn apply_names_the_processes_that_lag() {
    let shell = Shell::new("lag");
    let (fast, slow) = (
        FakeProcess::new(status(NEWEST)),
        FakeProcess::new(status(1)),
    );
    list_balancer(&shell, "entry-1", fast.admin);
    let hosts = [("desk-1", slow.admin), ("desk-2", unused_address())];
    list_hosts(&shell, "desk", &hosts);
    let file = shell.file("desk.json", DOCUMENT);
    let command = format!("apply {file} --wait --limit 300ms");
    let (found, text) = shell.run(&command);
    assert_eq!(found, ExitStatus::TimedOut, "{text}");
    for expected in [
        "MU-8010",
        "host desk-1 is at version 1",
        "host desk-2 does not answer",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    assert!(!text.contains("entry-1"), "{text}");
    shell.refused("status --check", ExitStatus::TimedOut, "MU-8010");
}

// Guards against a status that omits listed processes which do not answer.
#[test]
fn status_lists_every_process() {
    let shell = Shell::new("status");
    let entry = FakeProcess::new(status(7));
    list_balancer(&shell, "entry-1", entry.admin);
    list_hosts(&shell, "desk", &[("desk-1", unused_address())]);
    let text = shell.ok("status");
    let line = |name: &str| {
        text.lines()
            .find(|line| line.contains(name))
            .unwrap()
            .to_owned()
    };
    assert!(line("entry-1").contains("serving"), "{text}");
    assert!(line("desk-1").contains("no answer"), "{text}");
    let json: Json = serde_json::from_str(&shell.ok("status --json")).unwrap();
    let answered = json["processes"].as_array().unwrap().iter();
    let answered: Vec<&Json> = answered.map(|process| &process["answered"]).collect();
    assert_eq!(answered, [&json!(true), &json!(false)]);
    assert_eq!(json["in_force"], false);
    shell.refused("drain desk-9", ExitStatus::Failed, "MU-8011");
    shell.refused("drain desk-1", ExitStatus::Failed, "MU-8012");
    assert_eq!(
        shell.writes(),
        2,
        "writes other than the fleet and the roster"
    );
}

// Guards against removing a live balancer from its fleet, and against keeping a dead one.
#[test]
fn only_a_dead_balancer_is_forgotten() {
    let shell = Shell::new("forget");
    let entry = FakeProcess::new(status(7));
    list_balancer(&shell, "entry-1", entry.admin);
    shell.refused("forget entry-1", ExitStatus::Failed, "MU-8014");
    shell.refused("forget entry-9", ExitStatus::Failed, "MU-8013");
    assert_eq!(shell.writes(), 1, "writes other than the fleet");
    let shell = Shell::new("forget-dead");
    list_balancer(&shell, "entry-2", unused_address());
    shell.ok("forget entry-2");
    assert!(!shell.ok("status").contains("entry-2"));
}

fn status_with_burn(in_time: u64, late: u64, covered: &str) -> Json {
    let tally = json!({
        "in_time": in_time, "late": late, "refused": 1, "unknown": 0, "failed": 0
    });
    let mut status = status(7);
    status["burn"] = json!([{ "window": "300s", "covered": covered, "tally": tally }]);
    status
}

// Guards against a report that omits a host or includes hosts of another service.
#[test]
fn burn_is_summed_over_the_hosts_of_a_service() {
    let shell = Shell::new("burn");
    let fakes = [
        status_with_burn(40, 5, "60s"),
        status_with_burn(50, 3, "300s"),
        status_with_burn(1, 9, "1s"),
    ];
    let fakes = fakes.map(FakeProcess::new);
    shell.ok(&format!("apply {}", shell.file("desk.json", DOCUMENT)));
    shell.ok("service set map address=192.0.2.2:80 profile=fast");
    let desk = [
        ("desk-1", fakes[0].admin),
        ("desk-2", fakes[1].admin),
        ("desk-3", unused_address()),
    ];
    list_hosts(&shell, "desk", &desk);
    list_hosts(&shell, "map", &[("map-1", fakes[2].admin)]);
    let writes = shell.writes();
    let json: Json = serde_json::from_str(&shell.ok("report burn --service desk --json")).unwrap();
    let report = &json["services"][0];
    let window = &report["windows"][0];
    assert_eq!(window["requests"], 100);
    assert_eq!(window["late"], 8);
    assert_eq!(window["covered"], "300s");
    assert_eq!(window["goodput"], 0.9);
    let rate = window["burn_rate"].as_f64().unwrap();
    assert!((rate - 1.0).abs() < 1e-9, "objective 0.9: {rate}");
    assert_eq!(report["silent"], json!(["desk-3"]));
    let text = shell.ok("report burn");
    assert!(
        text.contains("desk: objective 90.00%, budget left 0.00%"),
        "{text}"
    );
    assert!(text.contains("host desk-3 does not answer"), "{text}");
    assert!(text.contains("map: objective"), "{text}");
    shell.refused(
        "report burn --service nodesk",
        ExitStatus::Failed,
        "MU-8003",
    );
    shell.refused("report burn --service Desk", ExitStatus::Usage, "MU-1001");
    assert_eq!(shell.writes(), writes);
}

// Guards against a division by zero in a deployment without traffic or hosts.
#[test]
fn burn_without_requests_has_no_rate() {
    let shell = Shell::new("idle");
    assert_eq!(shell.ok("report burn"), "");
    shell.ok(&format!("apply {}", shell.file("desk.json", DOCUMENT)));
    assert!(
        shell
            .ok("report burn")
            .contains("desk: objective 90.00%, budget left -")
    );
}
