use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! ratio {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $valid:expr, $rule:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $type(f64);

        impl $type {
            /// Wraps a plain number.
            ///
            /// # Errors
            /// Fails when the number is outside the type's range.
            pub fn new(value: f64) -> Result<Self, ParseError> {
                Self::try_from(value)
            }

            /// The plain number.
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $type {
            type Error = ParseError;

            fn try_from(value: f64) -> Result<Self, ParseError> {
                let valid: fn(f64) -> bool = $valid;
                if valid(value) {
                    Ok(Self(value))
                } else {
                    Err(ParseError::new($kind, &value.to_string(), $rule))
                }
            }
        }

        impl From<$type> for f64 {
            fn from(value: $type) -> Self {
                value.0
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
                match text.parse::<f64>() {
                    Ok(value) => Self::try_from(value),
                    Err(_) => Err(ParseError::new($kind, text, $rule)),
                }
            }
        }
    };
}

ratio!(
    /// Events per second.
    ///
    /// ```
    /// let rate: usher_types::Rate = "850000".parse()?;
    /// assert_eq!(rate.get(), 850_000.0);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    Rate,
    "rate",
    |value| value.is_finite() && value >= 0.0,
    "a number that is not negative"
);
ratio!(
    /// A part of a whole, from 0 to 1.
    Share,
    "share",
    |value| (0.0..=1.0).contains(&value),
    "a number from 0 to 1"
);
