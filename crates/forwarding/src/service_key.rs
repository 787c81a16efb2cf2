use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a service's name, the same in every process.
///
/// ```
/// use usher_forwarding::ServiceKey;
/// assert_ne!(ServiceKey::of("namedesk"), ServiceKey::of("pedigree"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(u64);

impl ServiceKey {
    /// No service; agents check the service of opening packets only.
    pub(crate) const NONE: Self = Self(0);

    /// The key of the service `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// A key received from another process.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// The key as a number.
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
