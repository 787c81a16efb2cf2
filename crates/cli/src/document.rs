use std::fs;
use std::path::Path;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;
use usher_config::{Kind, ObjectKey, ObjectName, Value};
use usher_store::decode;
use usher_types::{Profile, ProfileName, Service, ServiceName, Version};

use crate::error::CliError;

/// Profiles and services in a file for `apply` or `check`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Document {
    profiles: IndexMap<ProfileName, Profile>,
    services: IndexMap<ServiceName, Service>,
}

impl Document {
    pub(crate) fn read(path: &Path) -> Result<Self, CliError> {
        read_json(path)
    }

    pub(crate) fn into_values(self) -> Vec<(ObjectKey, Value)> {
        let profiles = self.profiles.into_iter().map(|(name, profile)| {
            let key = ObjectKey::new(Kind::Profile, (&name).into());
            (key, profile.into())
        });
        let services = self.services.into_iter().map(|(name, service)| {
            let key = ObjectKey::new(Kind::Service, (&name).into());
            (key, service.into())
        });
        profiles.chain(services).collect()
    }
}

/// Object in a file: the output of `get --json`, or only its value.
#[derive(Debug)]
pub(crate) struct Draft {
    /// `None` if the file has only the value.
    pub(crate) version: Option<Version>,
    pub(crate) value: Value,
}

/// Output of `get --json`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GetOutput {
    kind: Kind,
    name: ObjectName,
    version: Version,
    value: Json,
}

impl Draft {
    pub(crate) fn read(path: &Path, key: &ObjectKey) -> Result<Self, CliError> {
        let json: Json = read_json(path)?;
        let Ok(output) = serde_json::from_value::<GetOutput>(json.clone()) else {
            let value = parse_value(key, json)?;
            let version = None;
            return Ok(Self { version, value });
        };
        let found = ObjectKey::new(output.kind, output.name);
        if found != *key {
            return Err(CliError::File {
                path: path.to_owned(),
                cause: format!("the file contains {found}, not {key}"),
            });
        }
        let value = parse_value(key, output.value)?;
        let version = Some(output.version);
        Ok(Self { version, value })
    }
}

/// Decodes the value of the object `key` from JSON.
pub(crate) fn parse_value(key: &ObjectKey, json: Json) -> Result<Value, CliError> {
    decode(key.kind, json).map_err(|error| CliError::InvalidValue {
        key: key.clone(),
        cause: error.to_string(),
    })
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, CliError> {
    let file_error = |cause: String| CliError::File {
        path: path.to_owned(),
        cause,
    };
    let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))
}
