use serde::{Deserialize, Serialize};

use crate::{Payload, Span};

/// Outcome of a request, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server's whole answer.
    Answered(Payload),
    /// The backend server ran the request and reported an error.
    Failed(Payload),
    /// The request did not run and will not run.
    NotRun {
        /// Why it was refused.
        refusal: Refusal,
        /// Time after which a new attempt is likely to succeed.
        retry: Span,
    },
    /// The request may have run; its answer is lost.
    Unknown,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// It cannot finish before its deadline.
    TooLate,
    /// Its deadline passed while it was queued.
    Expired,
    /// Work of higher priority took its place.
    Shed,
    /// The caller cancelled it before dispatch.
    Cancelled,
    /// The host is draining.
    Draining,
    /// Its attempt budget is spent.
    Budget,
    /// The key's owner is unknown or unreachable, or may not grant yet.
    NoOwner,
    /// The backend server cannot be reached.
    NoBackend,
    /// The request is malformed.
    Invalid,
}

impl Refusal {
    /// Number shown to callers as `MU-<code>`; listed in `docs/errors.md`.
    ///
    /// ```
    /// assert_eq!(usher_types::Refusal::TooLate.code(), 4001);
    /// ```
    pub const fn code(self) -> u16 {
        match self {
            Self::TooLate => 4001,
            Self::Expired => 4002,
            Self::Shed => 4003,
            Self::Cancelled => 4004,
            Self::Draining => 4005,
            Self::Budget => 4006,
            Self::NoOwner => 4007,
            Self::NoBackend => 4008,
            Self::Invalid => 4009,
        }
    }
}
