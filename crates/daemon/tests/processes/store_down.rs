use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::{Value as Json, json};
use usher_config::Kind;
use usher_types::{Profile, Span, Version};

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, await_until};
use crate::load::{Load, once, open, read};

const FLOWS: usize = 30;
const OUTAGE: Duration = Duration::from_secs(20);
// P8: an accepted change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(4);
// Interval at which the versions of all processes are read during an outage.
const READ_INTERVAL: Duration = Duration::from_secs(1);

// Highest position seen in force in each process; a lower one fails the test.
#[derive(Default)]
struct Revisions(IndexMap<String, Version>);

impl Revisions {
    fn observe(&mut self, deployment: &Deployment) {
        for name in deployment.processes.keys() {
            let Some(revision) = deployment.revision(name) else {
                continue;
            };
            let highest = self.0.entry(name.clone()).or_default();
            assert!(
                revision >= *highest,
                "{name} went from {highest} to {revision}"
            );
            *highest = revision;
        }
    }
}

fn change(deployment: &Deployment, hunt: u64) {
    let profile = Profile {
        hunt: Span::from_millis(hunt),
        ..Profile::default()
    };
    deployment.put(Kind::Profile, BOOKING, profile);
    deployment.await_in_force(IN_FORCE);
}

// Runs traffic and adds a balancer during a store outage, then changes the configuration.
fn run_outage(name: &str, faults: &Json) {
    let mut deployment = Deployment::start(name, 2, 3);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    let mut revisions = Revisions::default();
    revisions.observe(&deployment);
    let reads = Load::start(&caller, flows.clone(), read);
    let bookings = Load::start(&caller, flows, once);
    deployment.set_store_faults(faults);
    let down = Instant::now();
    deployment.peers = vec![deployment.admin("booking-desk-1")];
    deployment.add_balancer(3);
    await_until("an answer of the new balancer", ANSWER_LIMIT, || {
        deployment.call("entry-3", "status").is_some()
    });
    deployment.distribute_to(&[3]);
    let fresh = open(&caller, BOOKING, FLOWS);
    reads.await_answers(2 * FLOWS as u64);
    let mut next = down;
    await_until("the end of the outage", OUTAGE * 2, || {
        if Instant::now() >= next {
            next += READ_INTERVAL;
            revisions.observe(&deployment);
        }
        down.elapsed() >= OUTAGE
    });
    deployment.clear_store_faults();
    change(&deployment, 7);
    revisions.observe(&deployment);
    let (reads, bookings) = (reads.stop(), bookings.stop());
    assert!(reads.is_complete(), "{name}: {reads:?}");
    assert!(bookings.is_complete(), "{name}: {bookings:?}");
    assert_eq!(fresh.len(), FLOWS);
    assert_eq!(caller.resets(), 0);
}

// Guards against traffic or joins that need the store, when it refuses connections (P8).
#[test]
fn traffic_outlives_a_store_that_refuses() {
    run_outage("store-refuses", &json!({ "down": "refuse" }));
}

// Guards against traffic or joins that wait for a store that does not answer (P8).
#[test]
fn traffic_outlives_a_store_that_hangs() {
    run_outage("store-hangs", &json!({ "down": "hang" }));
}

// Guards against a process that adopts an older configuration from a stale store (P8).
#[test]
fn no_process_reverts() {
    let rows = [
        json!({ "lose_answers": 2 }),
        json!({ "stale": true }),
        json!({ "delay_ms": 300 }),
    ];
    let deployment = Deployment::start("reverts", 2, 2);
    let mut revisions = Revisions::default();
    for (row, hunt) in rows.iter().zip(10..) {
        change(&deployment, 2 * hunt);
        revisions.observe(&deployment);
        deployment.set_store_faults(row);
        if row["stale"] == true {
            // The processes already have a newer configuration than the stale store returns.
            let until = Instant::now() + IN_FORCE;
            await_until("the end of the readings", IN_FORCE * 2, || {
                revisions.observe(&deployment);
                Instant::now() >= until
            });
        } else {
            change(&deployment, 2 * hunt + 1);
        }
        revisions.observe(&deployment);
        deployment.clear_store_faults();
        change(&deployment, 3 * hunt);
        revisions.observe(&deployment);
    }
}
