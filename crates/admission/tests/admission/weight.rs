//! Weights (`data/weight.json`), estimated waits and the retry limit, after series of runs.

use std::sync::Arc;

use serde::Deserialize;
use usher_admission::{Event, Policy, Scheduler};
use usher_types::{Profile, Slots};

use crate::{common, text};

/// Runs of `service` milliseconds each, one after another, until `until` milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Phase {
    until: u64,
    service: u64,
    /// Every n-th run fails after one millisecond; 0 for no failures.
    #[serde(default)]
    failing: u32,
    /// Minimum and maximum weight at the end of the phase.
    weight: [u32; 2],
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    /// The failure that this row guards against.
    guards: String,
    phases: Vec<Phase>,
}

fn run(row: &Row) {
    let own_address = common::peer(common::OWN_PORT);
    let profile = Arc::new(Profile::default());
    let mut scheduler = Scheduler::new(profile, Slots::new(3), Policy::default(), own_address);
    let (mut now, mut number) = (0, 0);
    for phase in &row.phases {
        while now < phase.until {
            number += 1;
            let deadline = now + 1_000;
            let arrival = format!("arrive {number} deadline={deadline}");
            scheduler.handle(text::at(now), text::event(&arrival));
            let failed = phase.failing > 0 && number % phase.failing == 0;
            let result = if failed { "failed" } else { "answered" };
            now += if failed { 1 } else { phase.service };
            let finish = format!("finished {number} {result}");
            scheduler.handle(text::at(now), text::event(&finish));
        }
        scheduler.handle(text::at(now), Event::Tick);
        let weight = scheduler.weight().get();
        let [low, high] = phase.weight;
        let bounds = low..=high;
        assert!(
            bounds.contains(&weight),
            "{}: weight {weight} at {now} ms",
            row.guards
        );
    }
}

#[test]
fn weight_table() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("../data/weight.json")).unwrap();
    for row in &rows {
        run(row);
    }
}

/// Guards against one slow run that counts for all slots, or for none.
#[test]
fn straggler_affects_one_slot() {
    let own_address = common::peer(common::OWN_PORT);
    let profile = Arc::new(Profile::default());
    let mut scheduler = Scheduler::new(profile, Slots::new(2), Policy::default(), own_address);
    for number in 1..=2 {
        let arrival = format!("arrive {number} deadline=9000");
        scheduler.handle(text::at(0), text::event(&arrival));
    }
    scheduler.handle(text::at(10), text::event("finished 2 answered"));
    assert_eq!(scheduler.wait(text::at(5_000)), usher_types::Span::ZERO);
    scheduler.handle(text::at(5_000), text::event("arrive 3 deadline=9000"));
    let wait = scheduler.wait(text::at(5_000)).as_millis();
    assert!((5..50).contains(&wait), "wait of {wait} ms");
}

/// Guards against one very slow run that raises its method's estimate for many later runs.
#[test]
fn straggler_barely_moves_the_estimate() {
    let own_address = common::peer(common::OWN_PORT);
    let profile = Arc::new(Profile::default());
    let mut scheduler = Scheduler::new(profile, Slots::new(1), Policy::default(), own_address);
    let mut now = 0;
    for number in 1..=21 {
        let arrival = format!("arrive {number} deadline=90000");
        scheduler.handle(text::at(now), text::event(&arrival));
        now += if number == 21 { 5_000 } else { 10 };
        let finish = format!("finished {number} answered");
        scheduler.handle(text::at(now), text::event(&finish));
    }
    scheduler.handle(text::at(now), text::event("arrive 22 deadline=90000"));
    let wait = scheduler.wait(text::at(now)).as_millis();
    assert!((10..20).contains(&wait), "wait of {wait} ms");
}

/// Guards against retries that multiply the load while the backend server fails.
#[test]
fn retries_are_limited_without_successes() {
    let own_address = common::peer(common::OWN_PORT);
    let profile = Arc::new(Profile::default());
    let mut scheduler = Scheduler::new(profile, Slots::new(1), Policy::default(), own_address);
    let mut dispatches = 0;
    for number in 1..=100 {
        for event in [format!("arrive {number}"), format!("lost {number}")] {
            let actions = scheduler.handle(text::at(0), text::event(&event));
            let actions = actions.iter().filter_map(text::action_text);
            dispatches += actions.filter(|a| a.starts_with("dispatch")).count();
        }
        scheduler.handle(text::at(0), text::event(&format!("lost {number}")));
        scheduler.handle(text::at(0), text::event(&format!("lost {number}")));
    }
    assert!(dispatches <= 110, "{dispatches} dispatches of 100 requests");
}
