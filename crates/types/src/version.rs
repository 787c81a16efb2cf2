use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Era, ParseError};

/// Version of an object in the store; only versions order its values.
///
/// A store that is restored from a copy counts again from an earlier number, in the next era.
///
/// ```
/// use usher_types::{Era, Version};
/// let lost = Version::new(17);
/// let restored = Version::new(12).in_era(Era::new(1));
/// assert!(lost < restored && restored < restored.next());
/// assert_eq!(restored.to_string(), "1.12");
/// assert_eq!("1.12".parse(), Ok(restored));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    era: Era,
    number: u64,
}

/// A version in a text format. That of a store that was never restored is a plain number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Readable {
    Number(u64),
    Text(String),
}

impl Version {
    /// Wraps a plain number of a store that was never restored.
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era::new(0),
            number,
        }
    }

    /// The same number in another era.
    #[must_use]
    pub const fn in_era(self, era: Era) -> Self {
        Self {
            era,
            number: self.number,
        }
    }

    /// Era in which the store gave out the number.
    pub const fn era(self) -> Era {
        self.era
    }

    /// The plain number, which says nothing about the order in another era.
    pub const fn get(self) -> u64 {
        self.number
    }

    /// The next version of the same era; saturates at the maximum.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            era: self.era,
            number: self.number.saturating_add(1),
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == Era::default() {
            return self.number.fmt(f);
        }
        f.pad(&format!("{}.{}", self.era, self.number))
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        if let (Ok(era), Ok(number)) = (era.parse(), number.parse()) {
            return Ok(Self { era, number });
        }
        let expected = "a number, or era and number as in 2.17";
        Err(ParseError::new("version", text, expected))
    }
}

impl Serialize for Version {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return (self.era, self.number).serialize(serializer);
        }
        if self.era == Era::default() {
            return self.number.serialize(serializer);
        }
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let (era, number) = Deserialize::deserialize(deserializer)?;
            return Ok(Self { era, number });
        }
        match Readable::deserialize(deserializer)? {
            Readable::Number(number) => Ok(Self::new(number)),
            Readable::Text(text) => text.parse().map_err(serde::de::Error::custom),
        }
    }
}
