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

            /// The following value; stays at the largest one.
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
    /// An object's version in the store; the only order between its values.
    ///
    /// ```
    /// use usher_types::Version;
    /// assert!(Version::new(3) < Version::new(3).next());
    /// ```
    Version(u64),
    "version"
);
number!(
    /// Changes when an address moves from one service to another.
    Generation(u64),
    "generation"
);
number!(
    /// Tells successive processes on one host apart; a later one is higher.
    Incarnation(u64),
    "incarnation"
);
number!(
    /// A packet's position in its direction of a flow.
    Sequence(u32),
    "sequence"
);
number!(
    /// Numbers the messages of one direction of a flow.
    MessageId(u32),
    "message id"
);
number!(
    /// Numbers the transmissions of one request; the first is 1.
    Attempt(u16),
    "attempt"
);
number!(
    /// Attempts left for one request across all layers.
    Budget(u8),
    "budget"
);
number!(
    /// Precedence under overload; a higher value is refused later.
    Priority(u8),
    "priority"
);
number!(
    /// Requests that a backend server runs at the same time.
    Slots(u16),
    "slot count"
);
number!(
    /// One bucket of a service's flows.
    Bucket(u32),
    "bucket"
);
number!(
    /// Number of buckets of a service; a power of two.
    Buckets(u32),
    "bucket count"
);
number!(
    /// Relative strength of a host; 1,000 is nominal.
    Weight(u32),
    "weight"
);
number!(
    /// A size in bytes.
    ByteCount(u64),
    "byte count"
);

impl Weight {
    /// Strength of a host that has not been measured yet.
    pub const NOMINAL: Self = Self::new(1_000);
}
