/// Why an opening packet is due to be sent to a second host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The last report of the chosen host is late, so that it may be dead.
    LateReport,
    /// The caller repeats the packet: the first one, its host or the answer was lost.
    Copy,
}

impl Cause {
    /// Name of the cause in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LateReport => "late-report",
            Self::Copy => "copy",
        }
    }
}

/// Why an extra opening that was due is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// No other host has a free slot.
    Room,
    /// The share is used up.
    Budget,
}

impl Shortage {
    /// Name of the shortage in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Budget => "budget",
        }
    }
}

/// Whether an opening packet is sent to a second host `T`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision<T> {
    /// Nothing calls for it.
    NotDue,
    /// Send it.
    Repeat {
        /// The second host.
        to: T,
        /// What calls for it.
        cause: Cause,
    },
    /// It is due, and is not sent.
    Withheld {
        /// What calls for it.
        cause: Cause,
        /// What is lacking.
        shortage: Shortage,
    },
}

impl<T> Decision<T> {
    /// The same decision with another name of the second host.
    pub fn map<U>(self, name: impl FnOnce(T) -> U) -> Decision<U> {
        match self {
            Self::NotDue => Decision::NotDue,
            Self::Repeat { to, cause } => Decision::Repeat {
                to: name(to),
                cause,
            },
            Self::Withheld { cause, shortage } => Decision::Withheld { cause, shortage },
        }
    }
}
