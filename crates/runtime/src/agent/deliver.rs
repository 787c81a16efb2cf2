use serde_json::Value;
use usher_flows::MAX_MESSAGE_BYTES;
use usher_types::{Outcome, Payload, Profile, Refusal, Request, RequestId, Span, Time};
use usher_wire::{CancelMessage, RequestMessage, ResponseMessage};

const TOO_LONG: &[u8] = br#"{"code":-32003,"message":"MU-4101: answer too long"}"#;

/// A decoded message from a caller.
#[derive(Debug)]
pub(crate) enum Delivered {
    /// A request, and the JSON-RPC id of its response.
    Request(Request, Value),
    /// Cancels the request with this JSON-RPC id.
    Cancel(Value),
    /// A malformed message, and the response to it.
    Malformed(Vec<u8>),
}

/// Decodes a message from a caller.
pub(crate) fn parse(now: Time, profile: &Profile, id: RequestId, bytes: &[u8]) -> Delivered {
    if let Ok(message) = RequestMessage::decode(bytes) {
        let rpc_id = message.id.clone();
        return Delivered::Request(request(now, profile, id, message), rpc_id);
    }
    match CancelMessage::decode(bytes) {
        Ok(message) => Delivered::Cancel(message.id),
        Err(_) => Delivered::Malformed(encode(Value::Null, refusal(Refusal::Invalid))),
    }
}

fn request(now: Time, profile: &Profile, id: RequestId, message: RequestMessage) -> Request {
    let meta = message.meta;
    let rule = profile.methods.get(&message.method);
    let priority = meta.priority.or(rule.map(|rule| rule.priority));
    let left = meta.deadline_ms.map_or(profile.deadline, Span::from_millis);
    let budget = meta.budget.unwrap_or(profile.attempts);
    Request {
        id,
        key: meta.key,
        once: meta.once,
        method: message.method,
        deadline: now + left,
        attempt: meta.attempt,
        age: Span::from_millis(meta.age_ms),
        budget: budget.min(profile.attempts),
        priority: priority.unwrap_or_default(),
        body: message.body,
    }
}

/// Encodes an outcome as a JSON-RPC response within a flow's message limit.
pub(crate) fn encode(id: Value, outcome: Outcome) -> Vec<u8> {
    let text = ResponseMessage {
        id: id.clone(),
        outcome,
    }
    .encode();
    let replacement = match text {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => return bytes,
        Ok(_) => Outcome::Failed(Payload::from(TOO_LONG)),
        // The backend server's payload is not JSON: the request ran, but its answer cannot be
        // forwarded.
        Err(_) => Outcome::Unknown,
    };
    let response = ResponseMessage {
        id,
        outcome: replacement,
    };
    response.encode().unwrap_or_default()
}

fn refusal(refusal: Refusal) -> Outcome {
    Outcome::NotRun {
        refusal,
        retry: Span::ZERO,
    }
}
