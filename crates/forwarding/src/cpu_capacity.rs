use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Processor capacity of a node in thousandths of a core. Displayed in cores.
///
/// ```
/// use usher_forwarding::CpuCapacity;
/// let capacity: CpuCapacity = "0.055".parse().unwrap();
/// assert_eq!(capacity.to_string(), "0.055");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CpuCapacity(u32);

/// The text is not a positive number of cores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidCapacity;

impl CpuCapacity {
    /// The capacity in thousandths of a core.
    pub const fn millicores(self) -> u32 {
        self.0
    }
}

impl fmt::Display for CpuCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / MILLICORES_PER_CORE)
    }
}

impl FromStr for CpuCapacity {
    type Err = InvalidCapacity;

    fn from_str(text: &str) -> Result<Self, InvalidCapacity> {
        let cores: f64 = text.parse().ok().ok_or(InvalidCapacity)?;
        if cores.is_finite() && cores > 0.0 {
            Ok(Self((cores * MILLICORES_PER_CORE).round().max(1.0) as u32))
        } else {
            Err(InvalidCapacity)
        }
    }
}
