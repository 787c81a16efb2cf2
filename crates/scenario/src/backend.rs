use std::collections::HashSet;

use serde_json::{Value, json};
use usher_types::{Outcome, Payload, RequestId, RequestKey, ServiceName, Slots, Span, Time};

use crate::fault::BackendMode;

/// A run as an agent asks its backend server for it.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) id: RequestId,
    pub(crate) key: RequestKey,
    pub(crate) body: Payload,
    pub(crate) start_by: Time,
}

/// What a backend server does with an order.
#[derive(Debug)]
pub(crate) enum Start {
    Refused,
    Failed(Outcome),
    Running(Span),
}

/// A backend server: slots, start deadlines and answers that name their request.
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

    /// Takes an order at `now` on the host's clock.
    pub(crate) fn start(&mut self, now: Time, order: &Order) -> Start {
        self.calls += 1;
        if self.mode == BackendMode::Down || now > order.start_by || self.busy >= self.slots {
            return Start::Refused;
        }
        if self.mode == BackendMode::Fails {
            return Start::Failed(Outcome::Failed(Payload::from(b"{}".as_slice())));
        }
        self.busy += 1;
        let body: Value = serde_json::from_slice(&order.body).unwrap_or_default();
        Start::Running(Span::from_micros(
            body["takes"].as_u64().unwrap_or_default(),
        ))
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.cancelled.insert(id);
    }

    pub(crate) fn end(&mut self, order: &Order, length: usize) -> Outcome {
        self.busy -= 1;
        if self.cancelled.remove(&order.id) {
            return Outcome::Failed(Payload::from(b"{}".as_slice()));
        }
        let answer = json!({
            "service": self.service,
            "key": order.key,
            "text": answer_text(order.key, length),
        });
        Outcome::Answered(Payload::from(answer.to_string().into_bytes()))
    }
}

/// Text that only the answer to this key has.
pub(crate) fn answer_text(key: RequestKey, length: usize) -> String {
    key.to_string().chars().cycle().take(length).collect()
}
