//! Short text form of requests, events and actions, for tables and failure messages.

use std::collections::HashMap;

use usher_admission::{Action, Event};
use usher_types::{
    Attempt, AttemptBudget, Offer, OfferOutcome, OfferOutcomeAck, OfferReply, Outcome, Payload,
    Priority, Request, RequestKey, Slots, Span, Time,
};

use crate::common::{answer, id, not_run, peer};

pub fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Parsed text of an event: `name target key=value flag`.
struct Line<'a> {
    words: Vec<&'a str>,
    fields: HashMap<&'a str, u64>,
}

impl<'a> Line<'a> {
    fn new(text: &'a str) -> Self {
        let (fields, words): (Vec<_>, Vec<_>) = text.split(' ').partition(|w| w.contains('='));
        let field = |w: &'a str| {
            let (name, value) = w.split_once('=').unwrap();
            (name, value.parse().unwrap())
        };
        Self {
            words,
            fields: fields.into_iter().map(field).collect(),
        }
    }

    fn field(&self, name: &str, default: u64) -> u64 {
        self.fields.get(name).copied().unwrap_or(default)
    }

    fn number(&self) -> u32 {
        self.words[1].parse().unwrap()
    }

    fn has(&self, word: &str) -> bool {
        self.words.contains(&word)
    }

    fn request(&self) -> Request {
        let number = self.number();
        let method = self.words.iter().find_map(|w| w.strip_prefix("method:"));
        Request {
            id: id(number),
            key: RequestKey::new(self.field("key", u64::from(number)).into()),
            once: self.has("once"),
            method: method.unwrap_or("read").to_owned(),
            deadline: at(self.field("deadline", 1_000)),
            attempt: Attempt::new(self.field("attempt", 1) as u16),
            age: Span::ZERO,
            budget: AttemptBudget::new(self.field("budget", 3) as u8),
            priority: Priority::new(self.field("priority", 100) as u8),
            body: Payload::default(),
        }
    }

    fn outcome(&self) -> Outcome {
        match *self.words.last().unwrap() {
            "answered" => answer(),
            "failed" => Outcome::Failed(Payload::default()),
            "not-run" => not_run(),
            "unknown" => Outcome::Unknown,
            word => panic!("unknown outcome: {word}"),
        }
    }
}

fn offer(line: &Line) -> Offer {
    let request = line.request();
    Offer {
        id: request.id,
        key: request.key,
        once: request.once,
        method: request.method,
        left: Span::from_millis(line.field("left", 1_000)),
        attempt: request.attempt,
        age: request.age,
        budget: request.budget,
        priority: request.priority,
        body: request.body,
        wait: Span::from_millis(line.field("wait", 100)),
        reply: peer(line.field("from", 1) as u16),
    }
}

pub fn event(text: &str) -> Event {
    let line = Line::new(text);
    let target = || id(line.number());
    match line.words[0] {
        "arrive" => Event::Arrive(line.request()),
        "permit" => Event::Permit {
            id: target(),
            start_by: at(line.field("until", 1_000)),
        },
        "settled" => Event::Settled {
            id: target(),
            outcome: line.outcome(),
        },
        "denied" => Event::Denied { id: target() },
        "finished" => Event::Finished {
            id: target(),
            outcome: line.outcome(),
        },
        "lost" => Event::Lost { id: target() },
        "refused" => Event::Refused { id: target() },
        "cancel" => Event::Cancel { id: target() },
        "offered" => Event::Offered(offer(&line)),
        "reply" => Event::OfferReply {
            from: peer(line.field("from", 1) as u16),
            reply: OfferReply {
                id: target(),
                taken: line.has("taken"),
                wait: Span::from_millis(line.field("wait", 0)),
            },
        },
        "outcome" => Event::OfferOutcome(OfferOutcome {
            id: target(),
            outcome: line.outcome(),
            reply: peer(line.field("from", 1) as u16),
        }),
        "done" => Event::OfferOutcomeAck(OfferOutcomeAck { id: target() }),
        "peer" => {
            let wait = Span::from_millis(line.field("wait", 0));
            Event::Peers(vec![(peer(line.number() as u16), wait)])
        }
        "slots" => Event::Slots(Slots::new(line.number() as u16)),
        "drain" => Event::Drain,
        "tick" => Event::Tick,
        word => panic!("unknown event: {word}"),
    }
}

pub fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(_) => "answered".to_owned(),
        Outcome::Failed(_) => "failed".to_owned(),
        Outcome::NotRun { refusal, .. } => format!("not-run:{refusal:?}"),
        Outcome::Unknown => "unknown".to_owned(),
    }
}

/// The action as text; `None` for counters.
pub fn action_text(action: &Action) -> Option<String> {
    Some(match action {
        Action::Claim { id, .. } => format!("claim {}", id.message),
        Action::Dispatch { id, .. } => format!("dispatch {}", id.message),
        Action::CancelRun { id } => format!("cancel-run {}", id.message),
        Action::Reply { id, outcome } => format!("reply {} {}", id.message, outcome_text(outcome)),
        Action::Complete { key, outcome } => {
            format!("complete {} {}", key.get(), outcome_text(outcome))
        }
        Action::Offer { to, offer } => format!("offer {} {}", to.port(), offer.id.message),
        Action::OfferReply { to, reply } => {
            let word = if reply.taken { "taken" } else { "declined" };
            format!("offer-reply {} {} {word}", to.port(), reply.id.message)
        }
        Action::OfferOutcome { to, outcome } => {
            let text = outcome_text(&outcome.outcome);
            format!("offer-outcome {} {} {text}", to.port(), outcome.id.message)
        }
        Action::OfferOutcomeAck { to, outcome_ack } => {
            format!("offer-done {} {}", to.port(), outcome_ack.id.message)
        }
        Action::Drained => "drained".to_owned(),
        Action::Count(_) => return None,
    })
}
