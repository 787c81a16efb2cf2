//! Outcome of conditional writes whose answers may be lost.

mod support;

use serde_json::{Value as Json, json};
use support::{key, object, value};
use usher_config::{Answer, Change, Condition, Kind, Object, Pending, Step, Write, WriteId};
use usher_types::Version;

const OWN: u128 = 7;

fn version(json: &Json) -> Version {
    Version::new(json.as_u64().unwrap())
}

fn found(answer: &Json) -> Option<Object> {
    let version = answer[1].as_u64()?;
    let profile = json!({});
    Some(match answer[2].as_str().unwrap() {
        "own" => object("profile/fast", version, OWN, &profile),
        "tombstone" => object("profile/fast", version, 1, &Json::Null),
        _ => object("profile/fast", version, 1, &profile),
    })
}

fn answer(step: Step, answer: &Json) -> Step {
    match (step, answer[0].as_str().unwrap()) {
        (Step::Retry(pending), "lost") => pending.answered(Answer::Lost),
        (Step::Retry(pending), "written") => pending.answered(Answer::Written(version(&answer[1]))),
        (Step::Retry(pending), "refused") => pending.answered(Answer::Refused(found(answer))),
        (Step::ReadBack(pending), "read") => pending.read(found(answer)),
        (step, answer) => panic!("{answer} after {step:?}"),
    }
}

#[test]
fn outcomes_are_resolved() {
    let rows: Vec<Json> = serde_json::from_str(include_str!("writes.json")).unwrap();
    for row in rows {
        let change = Change {
            key: key("profile/fast"),
            condition: match &row["condition"] {
                Json::Null => Condition::Absent,
                json => Condition::Version(version(json)),
            },
            value: value(Kind::Profile, &json!({ "hunt": "9ms" })),
        };
        let write = Write {
            id: WriteId::new(OWN),
            change,
        };
        let mut step = Step::Retry(Pending::new(write));
        for given in row["answers"].as_array().unwrap() {
            step = answer(step, given);
        }
        let ends = match step {
            Step::Done(version) => json!(["done", version]),
            Step::Conflict(conflict) => {
                json!([
                    "conflict",
                    conflict.current.unwrap().version,
                    conflict.uncertain
                ])
            }
            step => panic!("{}: {step:?}", row["guards"]),
        };
        assert_eq!(ends, row["ends"], "{}", row["guards"]);
    }
}
