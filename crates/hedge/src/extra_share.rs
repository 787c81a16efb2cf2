use std::fmt;
use std::str::FromStr;

const MILLION: f64 = 1e6;
// More would let extra openings outnumber a third of all opening packets.
const MAX_MILLIONTHS: u32 = 500_000;

/// A text that is not a share of extra openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidShare;

impl fmt::Display for InvalidShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a number from 0 to 0.5")
    }
}

impl std::error::Error for InvalidShare {}

/// Extra openings as a share of the openings of repeatable routes, from 0 (off) to 0.5.
///
/// Kept in millionths, so that sums of it are exact. An empty text means off.
///
/// ```
/// use usher_hedge::ExtraShare;
/// let share: ExtraShare = "0.05".parse()?;
/// assert_eq!((share.millionths(), share.to_string().as_str()), (50_000, "0.05"));
/// assert_eq!("".parse::<ExtraShare>()?, ExtraShare::OFF);
/// assert!("0.6".parse::<ExtraShare>().is_err());
/// # Ok::<(), usher_hedge::InvalidShare>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExtraShare(u32);

impl ExtraShare {
    /// No extra openings.
    pub const OFF: Self = Self(0);

    /// The share in millionths.
    pub const fn millionths(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ExtraShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (f64::from(self.0) / MILLION).fmt(f)
    }
}

impl FromStr for ExtraShare {
    type Err = InvalidShare;

    fn from_str(text: &str) -> Result<Self, InvalidShare> {
        if text.is_empty() {
            return Ok(Self::OFF);
        }
        let share: f64 = text.parse().map_err(|_fault| InvalidShare)?;
        let millionths = (share * MILLION).round();
        if (0.0..=f64::from(MAX_MILLIONTHS)).contains(&millionths) && share >= 0.0 {
            Ok(Self(millionths as u32))
        } else {
            Err(InvalidShare)
        }
    }
}
