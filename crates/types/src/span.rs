use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const FORMAT: &str = "a whole number with the unit us, ms or s";

/// A length of time in microseconds.
///
/// ```
/// use usher_types::Span;
/// assert_eq!("250ms".parse::<Span>()?, Span::from_millis(250));
/// assert_eq!(Span::from_secs(3).to_string(), "3s");
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(u64);

impl Span {
    /// A span of zero.
    pub const ZERO: Self = Self(0);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// A span of seconds, rounded down to microseconds; negative values give zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self((secs * MICROS_PER_SECOND as f64) as u64)
    }

    /// Whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Seconds with their fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Multiplies the span by a factor; negative factors give zero.
    #[must_use]
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    /// The difference, zero when `other` is longer.
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(MICROS_PER_SECOND) {
            write!(f, "{}s", self.0 / MICROS_PER_SECOND)
        } else if self.0.is_multiple_of(MICROS_PER_MILLI) {
            write!(f, "{}ms", self.0 / MICROS_PER_MILLI)
        } else {
            write!(f, "{}us", self.0)
        }
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let units = [
            ("us", 1),
            ("ms", MICROS_PER_MILLI),
            ("s", MICROS_PER_SECOND),
        ];
        let invalid = || ParseError::new("time span", text, FORMAT);
        let (digits, unit) = units
            .iter()
            .find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, *unit)))
            .ok_or_else(invalid)?;
        let count: u64 = digits.parse().ok().ok_or_else(invalid)?;
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

impl TryFrom<String> for Span {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}
