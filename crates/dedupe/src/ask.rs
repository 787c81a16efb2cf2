use usher_types::{Attempt, Claim, Outcome, Span, Time};

use crate::limits::{RESEND, RESEND_MAX};

/// A request's way from the first claim to its recorded outcome.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// A claim is under way.
    Claiming(Claim),
    /// The next claim follows when the entry is due.
    Pausing,
    /// The request may be dispatched or has been.
    Permitted {
        /// `sent` of the granted claim.
        sent: Time,
    },
    /// The outcome is being sent to the owner.
    Reporting {
        sent: Time,
        outcome: Outcome,
        give_up: Time,
    },
    /// The key has run here; it is never claimed again.
    Done(Outcome),
}

/// One key of a holder.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) attempt: Attempt,
    pub(crate) age: Span,
    pub(crate) asked: Time,
    pub(crate) deadline: Time,
    /// A second request waits for the same outcome.
    pub(crate) shared: bool,
    /// Another holder had a grant when the owner last answered.
    pub(crate) elsewhere: bool,
    /// `sent` of the last claim, if one was sent.
    pub(crate) claimed: Option<Time>,
    pub(crate) phase: Phase,
    pub(crate) due: Time,
    pub(crate) pause: Span,
}

impl Ask {
    pub(crate) fn new(now: Time, attempt: Attempt, age: Span, deadline: Time) -> Self {
        Self {
            attempt,
            age,
            asked: now,
            deadline,
            shared: false,
            elsewhere: false,
            claimed: None,
            phase: Phase::Pausing,
            due: now,
            pause: RESEND,
        }
    }

    /// Plans the next transmission, after twice the last pause.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.due = now + self.pause;
        self.pause = (self.pause * 2).min(RESEND_MAX);
    }
}
