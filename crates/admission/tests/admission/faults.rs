//! Runs the rows of `data/faults.json`: events with the actions expected after each.

use std::sync::Arc;

use serde::Deserialize;
use usher_admission::{Policy, Scheduler};
use usher_types::{Profile, Slots};

use crate::{common, text};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    /// The failure that this row guards against.
    guards: String,
    slots: u16,
    #[serde(default)]
    policy: Policy,
    #[serde(default)]
    profile: Profile,
    /// Time in milliseconds, event, expected actions.
    steps: Vec<(u64, String, Vec<String>)>,
}

fn run(row: Row) {
    let own_address = common::peer(common::OWN_PORT);
    let profile = Arc::new(row.profile);
    let mut scheduler = Scheduler::new(profile, Slots::new(row.slots), row.policy, own_address);
    for (millis, event, expected) in row.steps {
        let actions = scheduler.handle(text::at(millis), text::event(&event));
        let actions: Vec<_> = actions.iter().filter_map(text::action_text).collect();
        assert_eq!(actions, expected, "{}: {event} at {millis} ms", row.guards);
    }
}

#[test]
fn fault_table() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("../data/faults.json")).unwrap();
    for row in rows {
        run(row);
    }
}
