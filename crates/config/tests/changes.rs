//! Validation of sets of changes, and conflicts between changes of two operators.

mod support;

use serde_json::{Value as Json, json};
use support::{key, object, value};
use usher_config::{Cache, Catalog, Change, Condition, ConfigError, Value, check};

fn service(address: &str, profile: &str, generation: u64) -> Json {
    json!({ "address": address, "profile": profile, "generation": generation })
}

fn current() -> Cache {
    let objects = [
        ("profile/fast", 1, json!({})),
        ("profile/same", 2, json!({})),
        ("profile/small", 3, json!({ "buckets": 64 })),
        ("profile/spare", 4, json!({})),
        ("service/desk", 9, service("192.0.2.1:80", "fast", 7)),
        ("service/map", 10, service("192.0.2.2:80", "fast", 8)),
        ("service/gone", 20, Json::Null),
    ];
    let mut cache = Cache::default();
    for (key, version, json) in objects {
        cache.adopt(object(key, version, 1, &json));
    }
    cache
}

fn changes(cache: &Cache, row: &Json) -> Vec<Change> {
    let pairs = row["changes"].as_array().unwrap();
    let change = |pair: &Json| {
        let key = key(pair[0].as_str().unwrap());
        Change {
            condition: Condition::unchanged(cache.get(&key)),
            value: value(key.kind, &pair[1]),
            key,
        }
    };
    pairs.iter().map(change).collect()
}

fn generation(change: &Change) -> Option<u64> {
    match &change.value {
        Some(Value::Service(service)) => Some(service.generation.get()),
        _ => None,
    }
}

#[test]
fn changes_are_checked_as_a_whole() {
    let rows: Vec<Json> = serde_json::from_str(include_str!("changes.json")).unwrap();
    for row in rows {
        let guards = &row["guards"];
        let cache = current();
        match check(&cache, changes(&cache, &row)) {
            Ok(checked) => {
                let order: Vec<String> = checked.iter().map(|it| it.key.to_string()).collect();
                assert_eq!(json!(order), row["order"], "{guards}");
                let generations: Vec<u64> = checked.iter().filter_map(generation).collect();
                assert_eq!(json!(generations), row["generations"], "{guards}");
            }
            Err(faults) => {
                let codes: Vec<&str> = faults.iter().map(ConfigError::code).collect();
                assert_eq!(json!(codes), row["codes"], "{guards}: {faults:?}");
                for fault in &faults {
                    assert!(fault.to_string().starts_with(fault.code()), "{fault}");
                }
            }
        }
    }
}

// Guards against two operators who both succeed and give an address to the service that was written
// last, or to different services in different processes.
#[test]
fn first_accepted_service_keeps_its_address() {
    let late = object("service/aaa", 30, 1, &service("192.0.2.1:80", "none", 21));
    let mut cache = current();
    cache.adopt(late);
    let catalog = Catalog::new(&cache);
    let names: Vec<&str> = catalog
        .entries
        .iter()
        .map(|entry| entry.name.as_str())
        .collect();
    assert_eq!(names, ["desk", "map"]);
    assert_eq!(catalog.faults[0].code(), "MU-2007");
    // An unrelated edit of either service still reports the fault.
    let row = json!({ "changes": [["service/desk", service("192.0.2.1:80", "same", 0)]] });
    assert_eq!(
        check(&cache, changes(&cache, &row)).unwrap_err()[0].code(),
        "MU-2007"
    );
    let row = json!({ "changes": [["service/aaa", null]] });
    check(&cache, changes(&cache, &row)).unwrap();
}

// Guards against a service that stops because its profile was deleted by another operator.
#[test]
fn missing_profile_leaves_the_service_in_force() {
    let mut cache = current();
    cache.adopt(object("profile/fast", 30, 1, &Json::Null));
    let catalog = Catalog::new(&cache);
    assert_eq!(catalog.entries.len(), 2);
    let codes: Vec<&str> = catalog.faults.iter().map(ConfigError::code).collect();
    assert_eq!(codes, ["MU-2008", "MU-2008"]);
}
