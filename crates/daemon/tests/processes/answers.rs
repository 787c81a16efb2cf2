use assert_matches::assert_matches;
use usher_standins::{PathFaults, Request};
use usher_types::{Outcome, Span};

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment};
use crate::load::{is_answer_to, new_key, open};

// Answer sizes around the segment limit of 1,200 bytes and up to the specified maximum.
const ANSWER_SIZES: [usize; 10] = [
    1, 100, 1_100, 1_200, 1_300, 5_000, 40_000, 200_000, 500_000, 1_000_000,
];
const PATH_FAULTS: PathFaults = PathFaults {
    loss: 0.05,
    duplicates: 0.05,
    delay: Span::from_millis(20),
};

// Guards against an answer that is truncated, corrupted or sent for another request (P3).
#[test]
fn answers_are_whole_on_a_faulty_fabric() {
    let deployment = Deployment::start("answers", 2, 2);
    let caller = deployment.caller();
    let flows = open(&caller, BOOKING, 4);
    deployment.fabric.set_faults(PATH_FAULTS);
    let sent: Vec<_> = ANSWER_SIZES
        .iter()
        .flat_map(|size| flows.iter().map(move |flow| (*flow, *size)))
        .map(|(flow, size)| {
            let request = Request {
                answer: Some(size),
                deadline: Span::from_secs(20),
                ..Request::new("schedule", new_key())
            };
            let pending = caller.send(flow, &request);
            (request, pending)
        })
        .collect();
    for (request, pending) in sent {
        assert_matches!(pending.wait(ANSWER_LIMIT * 2), Some(Outcome::Answered(payload)) => {
            assert!(is_answer_to(&request, &payload), "answer to another request");
            let value: serde_json::Value = serde_json::from_slice(&payload).unwrap();
            let text = value["text"].as_str().unwrap();
            assert_eq!(Some(text.len()), request.answer);
            assert!(text.bytes().all(|byte| byte == b'x'), "changed bytes");
        });
    }
    assert_eq!(caller.resets(), 0);
}
