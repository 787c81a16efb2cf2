use serde_json::{Value, json};
use usher_types::{Attempt, AttemptBudget, Payload, RequestKey, Span};
use usher_wire::{Meta, RequestMessage};

/// A single request; [`Request::new`] creates a repeatable first attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Idempotency key.
    pub key: RequestKey,
    /// Method name.
    pub method: String,
    /// The request must not be run more than once.
    pub once: bool,
    /// Time left until the caller's deadline.
    pub deadline: Span,
    /// Number of this attempt, from 1.
    pub attempt: Attempt,
    /// Time since the first attempt.
    pub age: Span,
    /// Attempts left across all layers.
    pub budget: Option<AttemptBudget>,
    /// Service time; the backend server draws it when absent.
    pub time: Option<Span>,
    /// Characters in the answer's text; the backend server's default when absent.
    pub answer: Option<usize>,
}

impl Request {
    /// A repeatable first attempt with a deadline of 5 s.
    ///
    /// ```
    /// use usher_types::RequestKey;
    /// let request = usher_standins::Request::new("book", RequestKey::new(7));
    /// assert!(!request.once);
    /// ```
    pub fn new(method: &str, key: RequestKey) -> Self {
        Self {
            key,
            method: method.to_owned(),
            once: false,
            deadline: Span::from_secs(5),
            attempt: Attempt::new(1),
            age: Span::ZERO,
            budget: None,
            time: None,
            answer: None,
        }
    }

    pub(crate) fn message(&self, id: u64) -> RequestMessage {
        let mut body = json!({});
        if let Some(time) = self.time {
            body["time_ms"] = Value::from(time.as_millis());
        }
        if let Some(answer) = self.answer {
            body["answer"] = Value::from(answer);
        }
        RequestMessage {
            id: id.into(),
            method: self.method.clone(),
            meta: Meta {
                key: self.key,
                once: self.once,
                deadline_ms: Some(self.deadline.as_millis()),
                attempt: self.attempt,
                age_ms: self.age.as_millis(),
                budget: self.budget,
                priority: None,
            },
            body: Payload::from(body.to_string().as_bytes()),
        }
    }
}
