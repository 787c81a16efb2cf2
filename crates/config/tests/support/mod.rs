//! Keys, values and objects from JSON for the tests.

use serde_json::Value as Json;
use usher_config::{Kind, Object, ObjectKey, Value, WriteId};
use usher_types::Version;

pub fn key(text: &str) -> ObjectKey {
    text.parse().unwrap()
}

pub fn value(kind: Kind, json: &Json) -> Option<Value> {
    let json = json.clone();
    if json.is_null() {
        return None;
    }
    Some(match kind {
        Kind::Profile => Value::Profile(serde_json::from_value(json).unwrap()),
        Kind::Service => Value::Service(serde_json::from_value(json).unwrap()),
        Kind::Roster => Value::Roster(serde_json::from_value(json).unwrap()),
        Kind::Fleet => Value::Fleet(serde_json::from_value(json).unwrap()),
        Kind::Lease => Value::Lease(serde_json::from_value(json).unwrap()),
    })
}

pub fn object(text: &str, version: u64, write_id: u128, json: &Json) -> Object {
    let key = key(text);
    Object {
        version: Version::new(version),
        position: Version::new(version),
        write_id: WriteId::new(write_id),
        value: value(key.kind, json),
        kind: key.kind,
        name: key.name,
    }
}
