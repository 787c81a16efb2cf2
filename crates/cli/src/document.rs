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

/// Contents of a file for `apply` and `check`.
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

/// One object in a file: what `get --json` prints, or its value alone.
#[derive(Debug)]
pub(crate) struct Draft {
    pub(crate) version: Option<Version>,
    pub(crate) value: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Printed {
    kind: Kind,
    name: ObjectName,
    version: Version,
    value: Json,
}

impl Draft {
    pub(crate) fn read(path: &Path, key: &ObjectKey) -> Result<Self, CliError> {
        let json: Json = read_json(path)?;
        let Ok(printed) = serde_json::from_value::<Printed>(json.clone()) else {
            let value = parse_value(key, json)?;
            let version = None;
            return Ok(Self { version, value });
        };
        let found = ObjectKey::new(printed.kind, printed.name);
        if found != *key {
            return Err(CliError::File {
                path: path.to_owned(),
                cause: format!("it holds {found}, not {key}"),
            });
        }
        let value = parse_value(key, printed.value)?;
        let version = Some(printed.version);
        Ok(Self { version, value })
    }
}

pub(crate) fn parse_value(key: &ObjectKey, json: Json) -> Result<Value, CliError> {
    decode(key.kind, json).map_err(|error| CliError::Value {
        key: key.clone(),
        cause: error.to_string(),
    })
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, CliError> {
    let fault = |cause: String| CliError::File {
        path: path.to_owned(),
        cause,
    };
    let text = fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| fault(error.to_string()))
}
