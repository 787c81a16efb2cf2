use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use usher_config::{Condition, Object, ObjectKey, Rank, Write};
use usher_platform::{DecodeError, Object as PlatformObject, Reply, Request};
use usher_types::{Era, Version};

use crate::{StoreError, decode, encode};

/// Kind of all objects of the project; one watch covers them all.
pub(crate) const KIND: &str = "marigoldusher";
// Separates kind and name in a stored name; the names of kinds have no dot.
const SEPARATOR: char = '.';

// Bounds an error that quotes names and values of another writer; keys of the project are shorter.
const MAX_TEXT_CHARS: usize = 300;

/// An object as stored; its value is not decoded yet.
#[derive(Debug, Clone)]
pub(crate) struct StoredObject {
    key: ObjectKey,
    /// Era of the answer and revision of the object.
    pub(crate) position: Version,
    spec: Spec,
}

/// Content of an object in the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Spec {
    /// Id of the write that made this version. Other tools may omit it or write anything, which then
    /// matches no id of this client.
    #[serde(default)]
    write_id: String,
    /// Era of the store in which the value was written; earlier builds omit it.
    #[serde(default)]
    era: Era,
    /// Revision of the value's first write, if a restored store lost it and it was written again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    /// `None` marks a deleted object.
    #[serde(default)]
    value: Option<Box<RawValue>>,
}

impl StoredObject {
    /// Returns the name under which an object is stored.
    pub(crate) fn name(key: &ObjectKey) -> String {
        format!("{}{SEPARATOR}{}", key.kind, key.name)
    }

    /// Decodes the object in an answer.
    pub(crate) fn parse(reply: &Reply) -> Result<Self, StoreError> {
        let stored = PlatformObject::parse(reply);
        stored
            .map_err(|error| StoreError::Unreadable(error.to_string()))?
            .try_into()
    }

    /// The tombstone of an object that another tool has removed by `position`.
    pub(crate) fn tombstone(key: ObjectKey, position: Version) -> Self {
        Self {
            key,
            position,
            spec: Spec {
                era: position.era(),
                ..Spec::default()
            },
        }
    }

    /// Decodes the name of an object.
    pub(crate) fn key(name: &str) -> Result<ObjectKey, StoreError> {
        let path = path(name);
        path.parse().map_err(|cause| value_error(&path, &cause))
    }

    /// The error of an entry of a list whose name can be read and nothing else.
    pub(crate) fn invalid(name: &str, fault: &DecodeError) -> StoreError {
        value_error(&path(name), fault)
    }

    fn version(&self) -> Version {
        let revision = self.spec.revision.unwrap_or(self.position.get());
        Version::new(revision).in_era(self.spec.era)
    }

    /// Decodes the value.
    pub(crate) fn object(self) -> Result<Object, StoreError> {
        let kind = self.key.kind;
        let version = self.version();
        let value = self.spec.value.map(|json| {
            let json = serde_json::from_str(json.get())?;
            decode(kind, json)
        });
        let value = value.transpose();
        let value = value.map_err(|cause| value_error(&self.key.to_string(), &cause))?;
        Ok(Object {
            kind,
            name: self.key.name,
            version,
            position: self.position,
            write_id: self.spec.write_id.parse().unwrap_or_default(),
            value,
        })
    }
}

impl TryFrom<PlatformObject> for StoredObject {
    type Error = StoreError;

    fn try_from(stored: PlatformObject) -> Result<Self, StoreError> {
        let key = Self::key(&stored.name)?;
        let spec = stored.decode();
        let spec = spec.map_err(|fault| value_error(&key.to_string(), &fault))?;
        Ok(Self {
            key,
            position: stored.version,
            spec,
        })
    }
}

/// Encodes the request for a write.
///
/// It replaces the object at position `replaced`, or creates it if that is `None`.
pub(crate) fn write_request(
    write: &Write,
    replaced: Option<Version>,
) -> Result<Request, StoreError> {
    let change = &write.change;
    let encode_error = |cause: serde_json::Error| value_error(&change.key.to_string(), &cause);
    let value = change.value.as_ref().map(encode).transpose();
    let value = value.map_err(encode_error)?;
    let value = value.map(|bytes| serde_json::from_slice(&bytes));
    let (era, revision) = match write.rank {
        Rank::Newest(era) => (era, None),
        Rank::Kept(version) => (version.era(), Some(version.get())),
    };
    let spec = Spec {
        write_id: write.id.to_string(),
        era,
        revision,
        value: value.transpose().map_err(encode_error)?,
    };
    let spec = serde_json::to_value(spec).map_err(encode_error)?;
    let name = StoredObject::name(&change.key);
    Ok(match replaced {
        Some(version) => Request::replace(KIND, &name, version, &spec),
        None => Request::create(KIND, &name, &spec),
    })
}

/// Returns the position that the object must have; `None` if it must not exist.
pub(crate) fn expected_position(condition: Condition) -> Option<Version> {
    match condition {
        Condition::Absent => None,
        Condition::Version(position) => Some(position),
    }
}

fn path(name: &str) -> String {
    name.replacen(SEPARATOR, "/", 1)
}

fn value_error(key: &str, cause: &dyn std::fmt::Display) -> StoreError {
    let shorten = |text: String| text.chars().take(MAX_TEXT_CHARS).collect();
    StoreError::Value {
        key: shorten(key.to_owned()),
        cause: shorten(cause.to_string()),
    }
}
