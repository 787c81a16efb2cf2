use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// Kind of an object in the store.
///
/// ```
/// use usher_config::Kind;
/// assert_eq!("roster".parse::<Kind>()?, Kind::Roster);
/// # Ok::<(), usher_config::ConfigError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Traffic settings that services share; written by operators.
    Profile,
    /// Address of a service and the name of its profile; written by operators.
    Service,
    /// Members of a service, by the service's name.
    Roster,
    /// Balancers of a data centre, by its name.
    Fleet,
    /// A lease of one of the system's own processes.
    Lease,
}

impl Kind {
    /// All kinds, in the order in which they are read.
    pub const ALL: [Self; 5] = [
        Self::Profile,
        Self::Service,
        Self::Roster,
        Self::Fleet,
        Self::Lease,
    ];

    /// The kind as the object API writes it.
    ///
    /// ```
    /// assert_eq!(usher_config::Kind::Fleet.as_str(), "fleet");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Profile => "profile",
            Self::Service => "service",
            Self::Roster => "roster",
            Self::Fleet => "fleet",
            Self::Lease => "lease",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ConfigError::Kind(text.to_owned()))
    }
}
