use serde::{Deserialize, Serialize};
use usher_types::{Attempt, Outcome, Span, Time};

use crate::Agent;
use crate::limits::MAX_ANSWER_BYTES;

/// What an owner knows about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// A holder may start the request, or has started it.
    Granted {
        /// The process that may start the request.
        holder: Agent,
        /// `sent` of its claim.
        sent: Time,
        /// Time from `sent` within which it may start.
        span: Span,
        /// Transmission of the request that it was granted to.
        attempt: Attempt,
    },
    /// A holder released the grant without having started the request.
    Released {
        /// The process that released it.
        holder: Agent,
        /// Claims that it sent up to this time are ignored.
        sent: Time,
        /// Latest transmission answered "not run"; it and all earlier ones are refused.
        attempt: Attempt,
    },
    /// The request has run.
    Finished(Outcome),
    /// The request may have run, and its answer is not known.
    Unknown,
}

/// A key's state as handed over to another owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What is known.
    pub state: State,
    /// Time since the key entered this state, by the sender's clock.
    pub elapsed: Span,
}

impl State {
    /// The state that a reported outcome other than `NotRun` leads to.
    pub(crate) fn of(outcome: Outcome) -> Self {
        match &outcome {
            Outcome::Answered(body) | Outcome::Failed(body) if body.len() <= MAX_ANSWER_BYTES => {
                Self::Finished(outcome)
            }
            _ => Self::Unknown,
        }
    }

    /// Merges two owners' states of one key into the one that refuses more claims.
    ///
    /// Two different grants show that one was released after its record was copied. It is not known
    /// which one, so neither holder may replace its grant.
    pub(crate) fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Finished(outcome), _) | (_, Self::Finished(outcome)) => Self::Finished(outcome),
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (a @ Self::Granted { .. }, b @ Self::Granted { .. }) => Self::latest_grant(a, b),
            (grant @ Self::Granted { .. }, _) | (_, grant @ Self::Granted { .. }) => grant,
            (
                Self::Released {
                    holder,
                    sent,
                    attempt,
                },
                Self::Released { attempt: other, .. },
            ) => Self::Released {
                holder,
                sent,
                attempt: attempt.max(other),
            },
        }
    }

    fn latest_grant(a: Self, b: Self) -> Self {
        match (&a, &b) {
            (
                Self::Granted { holder, sent, .. },
                Self::Granted {
                    holder: other,
                    sent: other_sent,
                    ..
                },
            ) if holder == other => {
                if sent >= other_sent {
                    a
                } else {
                    b
                }
            }
            _ => Self::Unknown,
        }
    }
}
