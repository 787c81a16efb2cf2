use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident($inner:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type($inner);

        impl $type {
            /// Wraps a plain number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// The plain number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The next value; saturates at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                match text.parse() {
                    Ok(value) => Ok(Self(value)),
                    Err(_) => Err(ParseError::new($kind, text, "a whole number in range")),
                }
            }
        }
    };
}

number!(
    /// How often the store has been restored from a copy; orders versions before their number.
    ///
    /// ```
    /// use usher_types::Era;
    /// assert!(Era::default() < "1".parse()?);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    Era(u64),
    "era"
);
number!(
    /// The operator's own number of a configuration; later ones have higher numbers.
    Label(u64),
    "label"
);
number!(
    /// Raised when an address moves from one service to another.
    Generation(u64),
    "generation"
);
number!(
    /// Distinguishes successive processes on one machine; a later one is higher.
    Incarnation(u64),
    "incarnation"
);
number!(
    /// Sequence number of a packet in one direction of a flow.
    Sequence(u32),
    "sequence"
);
number!(
    /// Number of a message in one direction of a flow.
    MessageId(u32),
    "message id"
);
number!(
    /// Number of a transmission of one request; the first is 1.
    Attempt(u16),
    "attempt"
);
number!(
    /// Attempts left for one request across all layers.
    AttemptBudget(u8),
    "budget"
);
number!(
    /// Precedence under overload; a higher value is refused later.
    Priority(u8),
    "priority"
);
number!(
    /// Precedence of a route under load; 0 is served first.
    ///
    /// ```
    /// use usher_types::Rank;
    /// assert!("1".parse::<Rank>()? < Rank::new(2));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    Rank(u8),
    "rank"
);
number!(
    /// Number of requests that a backend server runs at the same time.
    Slots(u16),
    "slot count"
);
number!(
    /// Requests per second that a host takes while it is cold; 0 is no limit.
    ColdRate(u16),
    "cold rate"
);
number!(
    /// Index of a bucket; each flow of a service is hashed to one bucket.
    Bucket(u32),
    "bucket"
);
number!(
    /// Number of buckets of a service; a power of two.
    Buckets(u32),
    "bucket count"
);
number!(
    /// Relative capacity of a host; 1,000 is nominal.
    Weight(u32),
    "weight"
);
number!(
    /// A size in bytes.
    ByteCount(u64),
    "byte count"
);

impl ColdRate {
    /// No limit.
    pub const NONE: Self = Self::new(0);
}

impl Weight {
    /// Weight of a host whose capacity has not been measured yet.
    pub const NOMINAL: Self = Self::new(1_000);
}
