use serde_json::Value as Json;
use usher_config::{Kind, Value};

/// Encodes a value as the JSON text that is stored.
///
/// # Errors
/// A number has no JSON representation.
///
/// ```
/// let value = usher_types::Roster::default().into();
/// assert_eq!(usher_store::encode(&value)?, br#"{"members":{}}"#);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn encode(value: &Value) -> serde_json::Result<Vec<u8>> {
    match value {
        Value::Profile(profile) => serde_json::to_vec(profile),
        Value::Service(service) => serde_json::to_vec(service),
        Value::Roster(roster) => serde_json::to_vec(roster),
        Value::Fleet(fleet) => serde_json::to_vec(fleet),
        Value::Lease(lease) => serde_json::to_vec(lease),
    }
}

/// Decodes the JSON of a value of the given kind.
///
/// # Errors
/// A field is missing, unknown or not valid for its type.
///
/// ```
/// use usher_config::Kind;
/// assert!(usher_store::decode(Kind::Service, serde_json::json!({ "port": 80 })).is_err());
/// ```
pub fn decode(kind: Kind, json: Json) -> serde_json::Result<Value> {
    Ok(match kind {
        Kind::Profile => Value::Profile(serde_json::from_value(json)?),
        Kind::Service => Value::Service(serde_json::from_value(json)?),
        Kind::Roster => Value::Roster(serde_json::from_value(json)?),
        Kind::Fleet => Value::Fleet(serde_json::from_value(json)?),
        Kind::Lease => Value::Lease(serde_json::from_value(json)?),
    })
}
