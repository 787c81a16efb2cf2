use usher_types::{Attempt, Claim, Outcome, Span, Time};

use crate::limits::{RESEND_DELAY, RESEND_DELAY_MAX};

/// Progress of a request from its first claim to its recorded outcome.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// A claim was sent and awaits its reply.
    Claiming(Claim),
    /// The next claim is sent when the request is due.
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
        report_until: Time,
    },
    /// The request has run here, or may have run, and is not claimed again.
    Done(Outcome),
}

/// A request of a holder.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) attempt: Attempt,
    /// Time since the caller's first attempt, as of `received`.
    pub(crate) age: Span,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    /// A second request with the same key waits for the outcome.
    pub(crate) has_waiter: bool,
    /// Another holder had a grant when the owner last answered.
    pub(crate) held_elsewhere: bool,
    /// `sent` of the last claim, if one was sent.
    pub(crate) last_claim: Option<Time>,
    pub(crate) phase: Phase,
    /// When the phase needs the next action.
    pub(crate) due: Time,
    /// Time from the next transmission to the one after it.
    pub(crate) pause: Span,
}

impl Request {
    pub(crate) fn new(now: Time, attempt: Attempt, age: Span, deadline: Time) -> Self {
        Self {
            attempt,
            age,
            received: now,
            deadline,
            has_waiter: false,
            held_elsewhere: false,
            last_claim: None,
            phase: Phase::Pausing,
            due: now,
            pause: RESEND_DELAY,
        }
    }

    /// Schedules the next transmission and doubles the pause after it.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.due = now + self.pause;
        self.pause = (self.pause * 2).min(RESEND_DELAY_MAX);
    }
}
