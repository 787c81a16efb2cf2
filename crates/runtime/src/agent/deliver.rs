use serde_json::Value;
use usher_types::{Outcome, Profile, Refusal, Request, RequestId, Span, Time};
use usher_wire::{RequestMessage, ResponseMessage};

/// Turns a caller's message into a request and the JSON-RPC id to answer with.
///
/// # Errors
/// Gives the answer to a malformed message.
pub(crate) fn parse(
    now: Time,
    profile: &Profile,
    id: RequestId,
    bytes: &[u8],
) -> Result<(Request, Value), Vec<u8>> {
    let Ok(message) = RequestMessage::decode(bytes) else {
        return Err(encode(Value::Null, refusal(Refusal::Invalid)));
    };
    let meta = message.meta;
    let rule = profile.methods.get(&message.method);
    let priority = meta
        .priority
        .or(rule.map(|rule| rule.priority))
        .unwrap_or_default();
    let left = meta.deadline_ms.map_or(profile.deadline, Span::from_millis);
    let request = Request {
        id,
        key: meta.key,
        once: meta.once,
        method: message.method,
        deadline: now + left,
        attempt: meta.attempt,
        age: Span::from_millis(meta.age_ms),
        budget: meta
            .budget
            .map_or(profile.attempts, |budget| budget.min(profile.attempts)),
        priority,
        body: message.body,
    };
    Ok((request, message.id))
}

/// JSON-RPC text of an outcome.
pub(crate) fn encode(id: Value, outcome: Outcome) -> Vec<u8> {
    let fallback = id.clone();
    let response = ResponseMessage { id, outcome };
    response.encode().unwrap_or_else(|_| {
        // The backend server's payload is not JSON: it ran, and its answer cannot be passed on.
        let unknown = ResponseMessage {
            id: fallback,
            outcome: Outcome::Unknown,
        };
        unknown.encode().unwrap_or_default()
    })
}

fn refusal(refusal: Refusal) -> Outcome {
    Outcome::NotRun {
        refusal,
        retry: Span::ZERO,
    }
}
