use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use usher_types::{DataCentre, ProfileName, ServiceName};

use crate::ConfigError;

/// Name of an object, unique within its kind.
///
/// Names of all kinds follow the rule of service names.
///
/// ```
/// let name: usher_config::ObjectName = "booking-desk".parse()?;
/// assert_eq!(name.as_str(), "booking-desk");
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectName(Arc<str>);

impl ObjectName {
    /// The name as text.
    ///
    /// ```
    /// let name: usher_config::ObjectName = "fast".parse()?;
    /// assert_eq!(name.as_str(), "fast");
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for ObjectName {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        match text.parse::<ServiceName>() {
            Ok(_) => Ok(Self(text.into())),
            Err(error) => Err(ConfigError::Name {
                text: text.to_owned(),
                expected: error.expected(),
            }),
        }
    }
}

impl TryFrom<String> for ObjectName {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<Self, ConfigError> {
        text.parse()
    }
}

impl From<ObjectName> for String {
    fn from(name: ObjectName) -> Self {
        name.0.as_ref().to_owned()
    }
}

macro_rules! from_name {
    ($($type:ident),*) => {$(
        impl From<&$type> for ObjectName {
            fn from(name: &$type) -> Self {
                Self(name.as_str().into())
            }
        }

        impl From<&ObjectName> for $type {
            fn from(name: &ObjectName) -> Self {
                name.as_str().parse().expect("names of all kinds follow one rule")
            }
        }
    )*};
}

from_name!(ProfileName, ServiceName, DataCentre);
