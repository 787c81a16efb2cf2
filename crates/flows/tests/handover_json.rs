//! Names of the JSON in which flows are handed over.

use usher_flows::{FlowState, Ranges, UnackedMessage};
use usher_types::{MessageId, Payload, Sequence};

/// Guards against a renamed field: agents of another build then refuse the handover, and the flows
/// break when their agent stops.
#[test]
fn flow_states_keep_their_field_names() {
    let state = FlowState {
        flow: "192.0.2.1:4000>192.0.2.10:80#1".parse().unwrap(),
        sequence: Sequence::new(1),
        done: Ranges::default(),
        segments: Vec::new(),
        unacked: vec![UnackedMessage {
            message: MessageId::new(1),
            bytes: Payload::from(b"answer".to_vec()),
            missing: vec![0],
        }],
    };
    let json = serde_json::to_value(&state).unwrap();
    let keys: Vec<&str> = json
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    assert_eq!(keys, ["done", "flow", "output", "segments", "sequence"]);
    let message = json["output"][0].as_object().unwrap();
    let keys: Vec<&str> = message.keys().map(String::as_str).collect();
    assert_eq!(keys, ["bytes", "message", "missing"]);
}
