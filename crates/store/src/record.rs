use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use usher_config::{Condition, Object, ObjectKey, Write};
use usher_platform::{Object as Stored, Request};
use usher_types::Version;

use crate::{PlatformError, decode, encode};

/// The kind of the store under which all objects of the project stand, so that one watch sees all.
pub(crate) const KIND: &str = "marigoldusher";
// Kinds have no dot in their names.
const SEPARATOR: char = '.';

/// An object as the store holds it; its value need not be readable.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Record {
    key: ObjectKey,
    pub(crate) version: Version,
    spec: Spec,
}

/// Content of an object in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Spec {
    /// Write that made this version. Other tools may leave it out or write anything; it then equals
    /// none of ours.
    #[serde(default)]
    write_id: String,
    /// `None` marks an object that was deleted.
    #[serde(default)]
    value: Option<Json>,
}

impl Record {
    /// Name in the store of an object.
    pub(crate) fn name(key: &ObjectKey) -> String {
        format!("{}{SEPARATOR}{}", key.kind, key.name)
    }

    /// Reads the object in an answer.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, PlatformError> {
        let stored = Stored::parse(body);
        stored
            .map_err(|fault| PlatformError::Unreadable(fault.to_string()))?
            .try_into()
    }

    /// A deleted object, at the version that its deletion made.
    pub(crate) fn tombstone(mut self, version: Version) -> Self {
        self.spec.value = None;
        self.version = version;
        self
    }

    /// Decodes the value.
    pub(crate) fn object(self) -> Result<Object, PlatformError> {
        let kind = self.key.kind;
        let value = self.spec.value.map(|json| decode(kind, json)).transpose();
        let value = value.map_err(|cause| fault(&self.key.to_string(), &cause))?;
        Ok(Object {
            kind,
            name: self.key.name,
            version: self.version,
            write_id: self.spec.write_id.parse().unwrap_or_default(),
            value,
        })
    }
}

impl TryFrom<Stored> for Record {
    type Error = PlatformError;

    fn try_from(stored: Stored) -> Result<Self, PlatformError> {
        let path = stored.name.replacen(SEPARATOR, "/", 1);
        let key = path.parse().map_err(|cause| fault(&path, &cause))?;
        let spec = Spec::deserialize(stored.spec).map_err(|cause| fault(&path, &cause))?;
        Ok(Self {
            key,
            version: stored.version,
            spec,
        })
    }
}

/// The request that makes a change, if the object is at the version, or does not exist.
pub(crate) fn write_request(
    write: &Write,
    replaced: Option<Version>,
) -> Result<Request, PlatformError> {
    let change = &write.change;
    let unfit = |cause: serde_json::Error| fault(&change.key.to_string(), &cause);
    let value = change.value.as_ref().map(encode).transpose();
    let value = value.map_err(unfit)?;
    let value = value.map(|bytes| serde_json::from_slice(&bytes));
    let spec = Spec {
        write_id: write.id.to_string(),
        value: value.transpose().map_err(unfit)?,
    };
    let spec = serde_json::to_value(spec).map_err(unfit)?;
    let name = Record::name(&change.key);
    Ok(match replaced {
        Some(version) => Request::replace(KIND, &name, version, &spec),
        None => Request::create(KIND, &name, &spec),
    })
}

/// The version that a write expects the object to have.
pub(crate) fn expected(condition: Condition) -> Option<Version> {
    match condition {
        Condition::Absent => None,
        Condition::Version(version) => Some(version),
    }
}

fn fault(key: &str, cause: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::Value {
        key: key.to_owned(),
        cause: cause.to_string(),
    }
}
