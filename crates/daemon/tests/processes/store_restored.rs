use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use usher_config::{Kind, Object, Value};
use usher_types::{Profile, Service, Span};

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, START_LIMIT, await_until};
use crate::load::{Load, once, open, read};

const FLOWS: usize = 30;
// P8: an accepted change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(4);
// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(1);
// Time within which everything is back in the store, on a busy machine.
const RESTORE_LIMIT: Duration = Duration::from_secs(5);
// A process that has just started proposes to join within a second of its first answer.
const PAUSE: Duration = Duration::from_millis(1_200);
const LATE: &str = "late-desk";

fn hunt(objects: &[Object], name: &str) -> Option<Span> {
    let mut objects = objects.iter();
    let found =
        objects.find(|object| object.kind == Kind::Profile && object.name.as_str() == name)?;
    match &found.value {
        Some(Value::Profile(profile)) => Some(profile.hunt),
        _ => None,
    }
}

fn set_hunt(deployment: &Deployment, name: &str, hunt: u64) {
    let hunt = Span::from_millis(hunt);
    let profile = Profile {
        hunt,
        ..Profile::default()
    };
    deployment.put(Kind::Profile, name, profile);
}

fn add_service(deployment: &Deployment) {
    set_hunt(deployment, LATE, 9);
    let service = Service {
        address: "192.0.2.99:7000".parse().unwrap(),
        profile: LATE.parse().unwrap(),
        generation: usher_types::Generation::default(),
    };
    deployment.put(Kind::Service, LATE, service);
}

// Kind, name and version of all objects but leases.
fn versions(objects: &[Object]) -> Vec<String> {
    let objects = objects.iter().filter(|object| object.kind != Kind::Lease);
    let mut versions: Vec<String> = objects
        .map(|object| format!("{} {}", object.key(), object.version))
        .collect();
    versions.sort();
    versions
}

fn await_hunt(deployment: &Deployment, hunt_of: &str, millis: u64) {
    let expected = Some(Span::from_millis(millis));
    await_until("the profile in force", IN_FORCE, || {
        let mut names = deployment.processes.keys();
        names.all(|name| {
            let objects = deployment.objects(name);
            objects.is_some_and(|objects| hunt(&objects, hunt_of) == expected)
        })
    });
}

fn restore(deployment: &Deployment) {
    deployment.set_store_faults(&json!({ "down": "refuse", "backup": "restore" }));
    thread::sleep(OUTAGE);
    deployment.clear_store_faults();
}

fn signal_all(deployment: &Deployment, signal: Signal) {
    for process in deployment.processes.values() {
        process.signal(signal);
    }
}

fn has(names: &[String], name: &str) -> bool {
    names.iter().any(|listed| listed == name)
}

// Guards against a restored store that reverts or freezes the configuration, or that stays without
// what was written since its copy (P8).
#[test]
fn restored_store_reverts_nothing() {
    let mut deployment = Deployment::start("store-restored", 2, 3);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    let reads = Load::start(&caller, flows.clone(), read);
    let bookings = Load::start(&caller, flows, once);
    set_hunt(&deployment, BOOKING, 7);
    deployment.await_in_force(IN_FORCE);
    deployment.set_store_faults(&json!({ "backup": "take" }));
    set_hunt(&deployment, BOOKING, 8);
    add_service(&deployment);
    deployment.add_host(BOOKING, 4);
    deployment.await_members(BOOKING, 4);
    deployment.await_in_force(IN_FORCE);
    let before = versions(&deployment.stored());
    restore(&deployment);
    await_until("the lost objects in the store", RESTORE_LIMIT, || {
        versions(&deployment.stored()) == before
    });
    deployment.await_in_force(IN_FORCE);
    for name in deployment.processes.keys() {
        let held = deployment.objects(name).unwrap();
        assert_eq!(versions(&held), before, "{name}");
    }
    set_hunt(&deployment, BOOKING, 11);
    await_hunt(&deployment, BOOKING, 11);
    deployment.add_balancer(3);
    await_until("an answer of the new balancer", ANSWER_LIMIT, || {
        deployment.call("entry-3", "status").is_some()
    });
    await_hunt(&deployment, BOOKING, 11);
    await_hunt(&deployment, LATE, 9);
    assert_eq!(deployment.members(BOOKING).len(), 4);
    let (reads, bookings) = (reads.stop(), bookings.stop());
    assert!(reads.is_complete(), "{reads:?}");
    assert!(bookings.is_complete(), "{bookings:?}");
    assert_eq!(caller.resets(), 0);
}

// Guards against a change after a restore that has no effect because its revision is small.
#[test]
fn change_after_a_restore_takes_effect() {
    let deployment = Deployment::start("change-after-restore", 2, 2);
    deployment.set_store_faults(&json!({ "backup": "take" }));
    for hunt in 20..30 {
        set_hunt(&deployment, BOOKING, hunt);
    }
    deployment.await_in_force(IN_FORCE);
    for hunt in [40, 41] {
        restore(&deployment);
        set_hunt(&deployment, BOOKING, hunt);
        await_hunt(&deployment, BOOKING, hunt);
    }
}

// Guards against an agent that joins an older roster of a restored store, before the processes that
// know the newest one have written it again, and so drops a host that joined since the copy.
#[test]
fn starting_agent_does_not_edit_a_restored_roster() {
    let mut deployment = Deployment::start("restored-roster", 1, 3);
    deployment.set_store_faults(&json!({ "backup": "take" }));
    deployment.add_host(BOOKING, 4);
    deployment.await_members(BOOKING, 4);
    deployment.await_in_force(IN_FORCE);
    signal_all(&deployment, Signal::STOP);
    restore(&deployment);
    assert_eq!(deployment.members(BOOKING).len(), 3);
    deployment.add_host(BOOKING, 5);
    await_until("an answer of the new host", ANSWER_LIMIT, || {
        deployment.call("booking-desk-5", "status").is_some()
    });
    thread::sleep(PAUSE);
    signal_all(&deployment, Signal::CONT);
    await_until("the roster", START_LIMIT, || {
        let members = deployment.members(BOOKING);
        assert!(has(&members, "booking-desk-4") || !has(&members, "booking-desk-5"));
        members.len() == 5
    });
}

// Guards against a balancer that joins an older fleet and so drops one that joined since the copy.
#[test]
fn starting_balancer_does_not_edit_a_restored_fleet() {
    // Balancers of the same data centre.
    const NUMBERS: [u16; 3] = [1, 4, 7];
    let mut deployment = Deployment::new("restored-fleet");
    deployment.add_balancer(NUMBERS[0]);
    await_until("the first entry", START_LIMIT, || {
        deployment.balancers().len() == 1
    });
    deployment.set_store_faults(&json!({ "backup": "take" }));
    deployment.add_balancer(NUMBERS[1]);
    await_until("the second entry", START_LIMIT, || {
        deployment.balancers().len() == 2
    });
    deployment.await_in_force(IN_FORCE);
    signal_all(&deployment, Signal::STOP);
    restore(&deployment);
    assert_eq!(deployment.balancers(), ["entry-1"]);
    deployment.add_balancer(NUMBERS[2]);
    await_until("an answer of the new balancer", ANSWER_LIMIT, || {
        deployment.call("entry-7", "status").is_some()
    });
    thread::sleep(PAUSE);
    signal_all(&deployment, Signal::CONT);
    await_until("the fleet", START_LIMIT, || {
        let balancers = deployment.balancers();
        assert!(has(&balancers, "entry-4") || !has(&balancers, "entry-7"));
        balancers.len() == 3
    });
}
