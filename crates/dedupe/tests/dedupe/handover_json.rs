//! Names of the JSON in which records and large messages are handed over.

use usher_dedupe::{Agent, Transfer};
use usher_types::{
    AgentMessage, ClaimReply, CompletionAck, Decision, Incarnation, OfferOutcomeAck,
    RegistrationAck, RequestKey, Time, Version,
};

/// Guards against a renamed field: agents of another build then refuse the records, and the planned
/// stop of their owner does not end.
#[test]
fn transfers_keep_their_field_names() {
    let agent = Agent {
        host: "booking-desk-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    let transfer = Transfer {
        from: agent.clone(),
        to: agent,
        roster: Version::new(1),
        coverage: Vec::new(),
        rosters: Vec::new(),
        since: None,
        records: Vec::new(),
    };
    let json = serde_json::to_value(&transfer).unwrap();
    let keys: Vec<&str> = json
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    assert_eq!(
        keys,
        [
            "covers", "from", "records", "roster", "rosters", "since", "to"
        ]
    );
}

/// Guards against a renamed variant: agents of another build then refuse messages that are too large
/// for a datagram.
#[test]
fn messages_keep_their_variant_names() {
    let (key, sent) = (RequestKey::new(1), Time::ZERO);
    let flow = "192.0.2.1:4000>192.0.2.10:80#1";
    let messages = [
        AgentMessage::RegistrationAck(RegistrationAck {
            flow: flow.parse().unwrap(),
            holder: "192.0.2.20:80".parse().unwrap(),
        }),
        AgentMessage::ClaimReply(ClaimReply {
            key,
            sent,
            decision: Decision::Running,
        }),
        AgentMessage::CompletionAck(CompletionAck { key, sent }),
        AgentMessage::OfferOutcomeAck(OfferOutcomeAck {
            id: usher_types::RequestId {
                flow: flow.parse().unwrap(),
                message: usher_types::MessageId::new(1),
            },
        }),
    ];
    let names = messages.map(|message| {
        let json = serde_json::to_value(&message).unwrap();
        json.as_object().unwrap().keys().next().unwrap().clone()
    });
    assert_eq!(names, ["Registered", "Verdict", "Completed", "OfferDone"]);
    // `Registration` and `Completion` are read under their names too.
    for name in ["Register", "Complete"] {
        let error = serde_json::from_str::<AgentMessage>(&format!("{{\"{name}\": {{}}}}"));
        let error = error.unwrap_err().to_string();
        assert!(error.starts_with("missing field"), "{name}: {error}");
    }
}
