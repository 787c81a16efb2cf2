use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use usher_types::{Label, ParseError, Version};

/// Version of a configuration: the operator's own number, then the store's version.
///
/// The operator's numbers only rise, also over a restore of the store, so an older document never
/// counts as newer. The store's version orders documents that have the same number.
///
/// ```
/// use usher_forwarding::ConfigurationVersion;
/// let lost: ConfigurationVersion = "12@1.11".parse()?;
/// let older: ConfigurationVersion = "9@2.10".parse()?;
/// let next: ConfigurationVersion = "15@2.11".parse()?;
/// assert!(older < lost && lost < next);
/// assert_eq!(next.to_string(), "15@2.11");
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigurationVersion {
    /// The operator's own number of the document.
    pub label: Label,
    /// Version of the document in the store.
    pub stored: Version,
}

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.label, self.stored)
    }
}

impl FromStr for ConfigurationVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (label, stored) = text.split_once('@').unwrap_or((text, ""));
        Ok(Self {
            label: label.parse()?,
            stored: stored.parse()?,
        })
    }
}
