use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// Random 128-bit id of one write; the store keeps it with the object.
///
/// Reading it back shows whether a write took effect when its answer was lost.
///
/// ```
/// use usher_config::WriteId;
/// let id = WriteId::new(0xff);
/// assert_eq!(id.to_string().parse::<WriteId>()?, id);
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct WriteId(u128);

impl WriteId {
    /// Creates the id with this number.
    ///
    /// ```
    /// assert_eq!(usher_config::WriteId::new(7).get(), 7);
    /// ```
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// The plain number.
    ///
    /// ```
    /// assert_eq!(usher_config::WriteId::default().get(), 0);
    /// ```
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for WriteId {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        match u128::from_str_radix(text, 16) {
            Ok(value) => Ok(Self(value)),
            Err(_) => Err(ConfigError::WriteId(text.to_owned())),
        }
    }
}

impl TryFrom<String> for WriteId {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<Self, ConfigError> {
        text.parse()
    }
}

impl From<WriteId> for String {
    fn from(id: WriteId) -> Self {
        id.to_string()
    }
}
