use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MAX_NAME_BYTES: usize = 63;
const NAME_RULE: &str = "1 to 63 characters out of a-z, 0-9 and '-', starting with a letter";

fn is_valid_name(text: &str) -> bool {
    let starts_with_letter = text.starts_with(|c: char| c.is_ascii_lowercase());
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    starts_with_letter && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_valid_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseError::new($kind, text, NAME_RULE))
                }
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// A host: the machine where one backend server and its agent run.
    ///
    /// ```
    /// let host: usher_types::HostId = "booking-desk-1".parse()?;
    /// assert_eq!(host.to_string(), "booking-desk-1");
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    HostId,
    "host id"
);
name!(
    /// An instance: the machine where a balancer runs.
    InstanceId,
    "instance id"
);
name!(
    /// A service, for example `booking-desk`.
    ServiceName,
    "service name"
);
name!(
    /// Name by which services refer to a profile.
    ProfileName,
    "profile name"
);
name!(
    /// A data centre, for example `riga-centrs`.
    DataCentre,
    "data centre"
);
name!(
    /// A region that data centres belong to.
    ///
    /// ```
    /// let region: usher_types::Region = "bengal".parse()?;
    /// assert_eq!(region.as_str(), "bengal");
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    Region,
    "region"
);
