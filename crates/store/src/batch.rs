use serde::Deserialize;
use serde_json::Value as Json;
use usher_config::{Cache, Kind, Object, ObjectKey, WriteId};
use usher_types::Version;

use crate::{PlatformError, decode};

/// Objects above a version, in version order and with tombstones.
#[derive(Debug)]
pub struct Batch {
    /// The version that was asked from.
    pub after: Version,
    /// Version of the store's snapshot; nothing up to it is missing.
    pub through: Version,
    /// The objects that could be read.
    pub objects: Vec<Object>,
    /// Objects whose value could not be read; one of them does not hold back the others.
    pub unreadable: Vec<PlatformError>,
}

impl Batch {
    /// Passes the objects to a cache, and returns how many were newer.
    ///
    /// Only for a batch of all kinds, as the cache counts it complete.
    ///
    /// ```
    /// use usher_config::Cache;
    /// use usher_store::Batch;
    /// use usher_types::Version;
    /// let batch = Batch {
    ///     after: Version::new(0),
    ///     through: Version::new(2),
    ///     objects: Vec::new(),
    ///     unreadable: Vec::new(),
    /// };
    /// let mut cache = Cache::default();
    /// assert_eq!(batch.adopt_into(&mut cache), 0);
    /// assert_eq!(cache.complete(), Version::new(2));
    /// ```
    pub fn adopt_into(self, cache: &mut Cache) -> usize {
        cache.adopt_since(self.after, self.through, self.objects)
    }

    pub(crate) fn parse(after: Version, bytes: &[u8]) -> Result<Self, PlatformError> {
        let page: Page = serde_json::from_slice(bytes)
            .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
        let mut batch = Self {
            after,
            through: page.revision,
            objects: Vec::new(),
            unreadable: Vec::new(),
        };
        for entry in page.objects {
            match entry.parse() {
                Ok(object) => batch.objects.push(object),
                Err(error) => batch.unreadable.push(error),
            }
        }
        Ok(batch)
    }
}

#[derive(Debug, Deserialize)]
struct Page {
    revision: Version,
    objects: Vec<Row>,
}

#[derive(Debug, Deserialize)]
struct Row {
    kind: String,
    name: String,
    version: Version,
    write_id: String,
    value: Option<Json>,
}

impl Row {
    fn parse(self) -> Result<Object, PlatformError> {
        let fault = |cause: String| PlatformError::Value {
            key: format!("{}/{}", self.kind, self.name),
            cause,
        };
        let kind: Kind = self
            .kind
            .parse()
            .map_err(|error| fault(format!("{error}")))?;
        let name = self
            .name
            .parse()
            .map_err(|error| fault(format!("{error}")))?;
        let key = ObjectKey::new(kind, name);
        let write_id = parse_write_id(&self.write_id);
        parse_object(key, self.version, write_id, self.value)
    }
}

// Writes of other tools may carry no id or one of another form; it then equals none of ours.
pub(crate) fn parse_write_id(text: &str) -> WriteId {
    text.parse().unwrap_or_default()
}

pub(crate) fn parse_object(
    key: ObjectKey,
    version: Version,
    write_id: WriteId,
    json: Option<Json>,
) -> Result<Object, PlatformError> {
    let value = match json.map(|json| decode(key.kind, json)).transpose() {
        Ok(value) => value,
        Err(error) => {
            return Err(PlatformError::Value {
                key: key.to_string(),
                cause: error.to_string(),
            });
        }
    };
    Ok(Object {
        kind: key.kind,
        name: key.name,
        version,
        write_id,
        value,
    })
}
