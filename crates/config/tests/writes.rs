//! Outcome of conditional writes whose answers may be lost.

mod support;

use serde_json::{Value as Json, json};
use support::{key, object, value};
use usher_config::{Answer, Change, Condition, Kind, Object, Pending, Rank, Step, Write, WriteId};
use usher_types::{Era, Version};

const OWN: u128 = 7;

fn version(json: &Json) -> Version {
    serde_json::from_value(json.clone()).unwrap()
}

fn found(answer: &Json) -> Option<Object> {
    if answer[1].is_null() {
        return None;
    }
    let position = version(&answer[1]);
    let profile = json!({});
    let object = match answer[2].as_str().unwrap() {
        "own" => object("profile/fast", position.get(), OWN, &profile),
        "tombstone" => object("profile/fast", position.get(), 1, &Json::Null),
        _ => object("profile/fast", position.get(), 1, &profile),
    };
    Some(Object { position, ..object })
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
            rank: match &row["kept"] {
                Json::Null => Rank::Newest(Era::default()),
                json => Rank::Kept(version(json)),
            },
        };
        let mut step = Step::Retry(Pending::new(write));
        for given in row["answers"].as_array().unwrap() {
            step = answer(step, given);
        }
        let ends = match step {
            Step::Done(position) => {
                assert_eq!(position, version(&row["ends"][1]), "{}", row["guards"]);
                json!(["done", row["ends"][1]])
            }
            Step::Restored(_) => json!(["restored"]),
            Step::Retry(pending) => {
                let write = pending.write();
                let Condition::Version(position) = write.change.condition else {
                    panic!("{}: {write:?}", row["guards"]);
                };
                assert_eq!(write.rank, Rank::Newest(position.era()));
                assert_eq!(position, version(&row["ends"][1]), "{}", row["guards"]);
                json!(["again", row["ends"][1]])
            }
            Step::Conflict(conflict) => {
                let position = conflict.current.unwrap().position;
                assert_eq!(position, version(&row["ends"][1]), "{}", row["guards"]);
                json!(["conflict", row["ends"][1], conflict.uncertain])
            }
            step @ Step::ReadBack(_) => panic!("{}: {step:?}", row["guards"]),
        };
        assert_eq!(ends, row["ends"], "{}", row["guards"]);
    }
}
