use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Processor capacity of a node in thousandths of a core. Displayed in cores.
///
/// ```
/// use usher_forwarding::Strength;
/// let strength: Strength = "0.055".parse().unwrap();
/// assert_eq!(strength.to_string(), "0.055");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Strength(u32);

/// The text is not a positive number of cores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidStrength;

impl Strength {
    /// The capacity in thousandths of a core.
    pub const fn millicores(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Strength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / MILLICORES_PER_CORE)
    }
}

impl FromStr for Strength {
    type Err = InvalidStrength;

    fn from_str(text: &str) -> Result<Self, InvalidStrength> {
        let cores: f64 = text.parse().ok().ok_or(InvalidStrength)?;
        if cores.is_finite() && cores > 0.0 {
            Ok(Self((cores * MILLICORES_PER_CORE).round().max(1.0) as u32))
        } else {
            Err(InvalidStrength)
        }
    }
}
