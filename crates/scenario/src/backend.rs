use std::collections::HashSet;

use serde_json::{Value, json};
use usher_types::{Outcome, Payload, RequestId, RequestKey, ServiceName, Slots, Span, Time};

use crate::fault::BackendMode;

/// Call of an agent to its backend server to run a caller's request.
#[derive(Debug, Clone)]
pub(crate) struct RunRequest {
    pub(crate) id: RequestId,
    pub(crate) key: RequestKey,
    pub(crate) body: Payload,
    pub(crate) start_by: Time,
}

/// Response of a backend server to a run request.
#[derive(Debug)]
pub(crate) enum StartResult {
    Refused,
    Failed(Outcome),
    Running(Span),
}

/// Fake backend server with slots, start deadlines and answers that name their request.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) service: ServiceName,
    pub(crate) mode: BackendMode,
    pub(crate) calls: u64,
    slots: usize,
    busy: usize,
    cancelled: HashSet<RequestId>,
}

impl Backend {
    pub(crate) fn new(service: ServiceName, slots: Slots) -> Self {
        Self {
            service,
            mode: BackendMode::default(),
            calls: 0,
            slots: usize::from(slots.get()),
            busy: 0,
            cancelled: HashSet::new(),
        }
    }

    /// Starts a run if a slot is free and its start deadline, on the host's clock, has not passed.
    pub(crate) fn start(&mut self, now: Time, request: &RunRequest) -> StartResult {
        self.calls += 1;
        if self.mode == BackendMode::Down || now > request.start_by || self.busy >= self.slots {
            return StartResult::Refused;
        }
        if self.mode == BackendMode::Fails {
            return StartResult::Failed(Outcome::Failed(Payload::from(b"{}".as_slice())));
        }
        self.busy += 1;
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        StartResult::Running(Span::from_micros(
            body["takes"].as_u64().unwrap_or_default(),
        ))
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.cancelled.insert(id);
    }

    pub(crate) fn end(&mut self, request: &RunRequest, length: usize) -> Outcome {
        self.busy -= 1;
        if self.cancelled.remove(&request.id) {
            return Outcome::Failed(Payload::from(b"{}".as_slice()));
        }
        let answer = json!({
            "service": self.service,
            "key": request.key,
            "text": answer_text(request.key, length),
        });
        Outcome::Answered(Payload::from(answer.to_string().into_bytes()))
    }
}

/// Text of an answer, unique to its request key.
pub(crate) fn answer_text(key: RequestKey, length: usize) -> String {
    key.to_string().chars().cycle().take(length).collect()
}
