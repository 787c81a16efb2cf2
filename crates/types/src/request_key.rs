use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A caller's 128-bit idempotency key, written as 32 hexadecimal digits.
///
/// ```
/// use usher_types::RequestKey;
/// let key = RequestKey::new(0xff);
/// assert_eq!(key.to_string().parse::<RequestKey>()?, key);
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestKey(u128);

impl RequestKey {
    /// Wraps a plain number.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// The plain number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u128::from_str_radix(text, 16) {
            Ok(value) => Ok(Self(value)),
            Err(_) => Err(ParseError::new(
                "request key",
                text,
                "up to 32 hexadecimal digits",
            )),
        }
    }
}

impl TryFrom<String> for RequestKey {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.to_string()
    }
}
