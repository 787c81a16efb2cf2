use serde::{Deserialize, Serialize};
use usher_types::{Fleet, Profile, Roster, Service, Version};

use crate::{Kind, LeaseRecord};

/// Value of an object, typed by its kind.
///
/// ```
/// use usher_config::{Kind, Value};
/// let value = Value::from(usher_types::Profile::default());
/// assert_eq!(value.kind(), Kind::Profile);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// A profile.
    Profile(Profile),
    /// A service.
    Service(Service),
    /// Members of a service.
    Roster(Roster),
    /// Balancers of a data centre.
    Fleet(Fleet),
    /// A lease.
    Lease(LeaseRecord),
}

impl Value {
    /// The kind that the value belongs to.
    ///
    /// ```
    /// use usher_config::{Kind, Value};
    /// let value = Value::from(usher_types::Roster::default());
    /// assert_eq!(value.kind(), Kind::Roster);
    /// ```
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Profile(_) => Kind::Profile,
            Self::Service(_) => Kind::Service,
            Self::Roster(_) => Kind::Roster,
            Self::Fleet(_) => Kind::Fleet,
            Self::Lease(_) => Kind::Lease,
        }
    }

    // Rosters and fleets carry the version of their object, which is not encoded.
    pub(crate) fn set_version(&mut self, version: Version) {
        match self {
            Self::Roster(roster) => roster.version = version,
            Self::Fleet(fleet) => fleet.version = version,
            Self::Profile(_) | Self::Service(_) | Self::Lease(_) => {}
        }
    }
}

macro_rules! from_value {
    ($($variant:ident($type:ident)),*) => {$(
        impl From<$type> for Value {
            fn from(value: $type) -> Self {
                Self::$variant(value)
            }
        }
    )*};
}

from_value!(
    Profile(Profile),
    Service(Service),
    Roster(Roster),
    Fleet(Fleet),
    Lease(LeaseRecord)
);
