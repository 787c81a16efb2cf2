use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use usher_types::Version;

/// The operator's configuration as a balancer hands it to another one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfigurationCopy {
    /// Version under which the store holds it.
    pub(crate) version: Version,
    /// The operator's document as JSON text, with the entries that cannot be decoded.
    pub(crate) document: Box<RawValue>,
}

impl ConfigurationCopy {
    pub(crate) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }

    pub(crate) fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string(self)
    }
}
