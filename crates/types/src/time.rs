use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, Span};

/// A reading of a machine's monotonic clock, in microseconds.
///
/// Readings of two machines cannot be compared; processes of one machine share the clock.
///
/// ```
/// use usher_types::{Span, Time};
/// let start = Time::from_micros(5);
/// assert_eq!(start + Span::from_micros(2) - start, Span::from_micros(2));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// A reading in microseconds since the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this reading; zero when `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Span {
        Span::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl Sub for Time {
    type Output = Span;

    fn sub(self, earlier: Self) -> Span {
        self.since(earlier)
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_micros()))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Time {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let span: Span = text.parse()?;
        Ok(Self(span.as_micros()))
    }
}
