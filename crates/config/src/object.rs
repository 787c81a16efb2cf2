use std::fmt;

use serde::{Deserialize, Serialize};
use usher_types::Version;

use crate::{ConfigError, Kind, ObjectName, Value, WriteId};

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: ObjectName,
}

impl ObjectKey {
    /// The key of an object.
    ///
    /// ```
    /// use usher_config::{Kind, ObjectKey};
    /// let key = ObjectKey::new(Kind::Profile, "fast".parse()?);
    /// assert_eq!(key.to_string(), "profile/fast");
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn new(kind: Kind, name: ObjectName) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl std::str::FromStr for ObjectKey {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        let (kind, name) = text.split_once('/').unwrap_or((text, ""));
        Ok(Self::new(kind.parse()?, name.parse()?))
    }
}

/// One version of an object, as the store holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: ObjectName,
    /// Era and number of the write; alone decides which value of the object is newer.
    pub version: Version,
    /// Era and revision under which the store holds the value, for conditions and watches.
    ///
    /// It differs from `version` once the store was restored from a copy. Earlier builds omit it.
    #[serde(default)]
    pub position: Version,
    /// Write that made this version.
    pub write_id: WriteId,
    /// `None` is a tombstone: the object was deleted.
    pub value: Option<Value>,
}

impl Object {
    /// Kind and name of the object.
    ///
    /// ```
    /// use usher_config::{Kind, Object, WriteId};
    /// let tombstone = Object {
    ///     kind: Kind::Profile,
    ///     name: "fast".parse()?,
    ///     version: usher_types::Version::new(4),
    ///     position: usher_types::Version::new(4),
    ///     write_id: WriteId::new(1),
    ///     value: None,
    /// };
    /// assert_eq!(tombstone.key().to_string(), "profile/fast");
    /// # Ok::<(), usher_config::ConfigError>(())
    /// ```
    pub fn key(&self) -> ObjectKey {
        ObjectKey::new(self.kind, self.name.clone())
    }
}
