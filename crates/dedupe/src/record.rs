use serde::{Deserialize, Serialize};
use usher_types::{Attempt, Outcome, Span, Time};

use crate::Agent;
use crate::limits::ANSWER_LIMIT;

/// What an owner knows about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// A holder may start it, or has started it.
    Granted {
        /// The process that may start it.
        holder: Agent,
        /// `sent` of its claim.
        sent: Time,
        /// Time from `sent` within which it may start.
        span: Span,
        /// Transmission of the request that it was granted to.
        attempt: Attempt,
    },
    /// A holder gave the grant back without having started it.
    Released {
        /// The process that gave it back.
        holder: Agent,
        /// Its claims up to this time are void.
        sent: Time,
        /// The caller of this and earlier transmissions was told "not run".
        attempt: Attempt,
    },
    /// It has run.
    Finished(Outcome),
    /// It may have run, and its answer is not known.
    Unknown,
}

/// A record as handed over, with times relative to the sender's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What is known.
    pub state: State,
    /// Time since it has been in this state.
    pub elapsed: Span,
}

impl State {
    /// The state that a reported outcome other than `NotRun` leads to.
    pub(crate) fn of(outcome: Outcome) -> Self {
        match &outcome {
            Outcome::Answered(body) | Outcome::Failed(body) if body.len() <= ANSWER_LIMIT => {
                Self::Finished(outcome)
            }
            _ => Self::Unknown,
        }
    }

    /// Combines two owners' knowledge of one key, towards refusal.
    ///
    /// Two different grants show that one was given back after its record was copied. Which one
    /// is not known, so neither holder may replace its grant.
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
