//! Versions from several sources, stale or repeated, in one cache.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use serde_json::{Value as Json, json};
use support::{key, object};
use usher_config::{Adoption, Cache, Object};
use usher_types::{Era, Version};

fn profile(version: u64, hunt: &Json) -> Object {
    let value = match hunt.as_str() {
        Some(text) => json!({ "hunt": format!("{}ms", text.as_bytes()[0]) }),
        None => Json::Null,
    };
    object("profile/fast", version, 1, &value)
}

#[test]
fn versions_only_rise() {
    let rows: Vec<Json> = serde_json::from_str(include_str!("cache.json")).unwrap();
    for row in rows {
        let guards = &row["guards"];
        let mut cache = Cache::default();
        let offers = row["offers"].as_array().unwrap();
        for (offer, adopted) in offers.iter().zip(row["adopted"].as_array().unwrap()) {
            let adoption = cache.adopt(profile(offer[0].as_u64().unwrap(), &offer[1]));
            assert_eq!(json!(adoption == Adoption::Adopted), *adopted, "{guards}");
        }
        let expected = profile(row["ends"][0].as_u64().unwrap(), &row["ends"][1]);
        assert_eq!(cache.get(&expected.key()), Some(&expected), "{guards}");
        assert_eq!(cache.since(Version::default()).count(), 1, "{guards}");
        assert_eq!(
            cache.list(expected.kind).count(),
            usize::from(expected.value.is_some()),
            "{guards}"
        );
    }
}

fn version(json: &Json) -> Version {
    serde_json::from_value(json.clone()).unwrap()
}

// An object whose value at `[version, hunt, position]` stands at `position` in the store.
fn stored(name: &str, offer: &Json) -> Object {
    let hunt = json!({ "hunt": format!("{}ms", offer[1].as_str().unwrap().as_bytes()[0]) });
    Object {
        version: version(&offer[0]),
        position: version(&offer[2]),
        ..object(name, 1, 1, &hunt)
    }
}

#[test]
fn restores_lose_no_value() {
    let rows: Vec<Json> = serde_json::from_str(include_str!("restores.json")).unwrap();
    for row in rows {
        let guards = &row["guards"];
        let mut cache = Cache::default();
        let name = row["object"].as_str().unwrap();
        for step in row["steps"].as_array().unwrap() {
            let through = version(&step["through"]);
            let objects: Vec<Object> = step["objects"]
                .as_array()
                .unwrap()
                .iter()
                .map(|offer| stored(name, offer))
                .collect();
            match &step["after"] {
                Json::Null => cache.apply_list(through, objects, &[]),
                after => cache.apply_since(version(after), through, objects),
            };
            let held = cache.get(&key(name)).unwrap();
            let expected = stored(name, &step["held"]);
            assert_eq!(held, &expected, "{guards}");
            assert_eq!(cache.complete(), through, "{guards}");
            let lost: Vec<&Object> = cache.lost().collect();
            let is_lost = step["lost"].as_bool().unwrap();
            let expected: &[&Object] = if is_lost { &[&expected] } else { &[] };
            assert_eq!(lost, expected, "{guards}");
        }
    }
}

// Guards against a peer that moves its position past a lost object without receiving it.
#[test]
fn objects_written_again_are_newer_for_peers() {
    let mut cache = Cache::default();
    cache.adopt(stored("profile/fast", &json!([9, "b", 9])));
    cache.apply_list(Version::new(5).in_era(Era::new(1)), Vec::new(), &[]);
    let peer = cache.complete();
    cache.adopt(stored("profile/fast", &json!([9, "b", "1.6"])));
    let newer: Vec<Version> = cache.since(peer).map(|object| object.version).collect();
    assert_eq!(newer, [Version::new(9)]);
}

// Guards against a watch that resumes above objects that never arrived.
#[test]
fn completeness_has_no_gaps() {
    let mut cache = Cache::default();
    cache.adopt(profile(9, &Json::Null));
    assert_eq!(
        (cache.revision(), cache.complete()),
        (Version::new(9), Version::new(0))
    );
    cache.apply_since(Version::new(3), Version::new(12), Vec::new());
    assert_eq!(cache.complete(), Version::new(0), "1 to 3 were not seen");
    cache.apply_since(Version::new(0), Version::new(5), Vec::new());
    cache.apply_since(Version::new(3), Version::new(12), Vec::new());
    assert_eq!(cache.complete(), Version::new(12));
    cache.apply_since(Version::new(0), Version::new(5), Vec::new());
    assert_eq!(cache.complete(), Version::new(12));
}

// Guards against a roster that keeps the version of an older object.
#[test]
fn rosters_carry_the_version_of_their_object() {
    let mut cache = Cache::default();
    cache.adopt(object("roster/desk", 8, 1, &json!({ "members": {} })));
    let adopted = cache.get(&key("roster/desk")).unwrap();
    match adopted.value.as_ref().unwrap() {
        usher_config::Value::Roster(roster) => assert_eq!(roster.version, Version::new(8)),
        other => panic!("{other:?}"),
    }
}

/// Writes to three objects, in version order; `false` deletes.
fn history() -> impl Strategy<Value = Vec<Object>> {
    proptest::collection::vec((0_u8..3, any::<bool>()), 1..30).prop_map(|writes| {
        let versions = 1_u64..;
        let object = |((name, live), version): ((u8, bool), u64)| {
            let value = json!({ "hunt": format!("{version}ms") });
            let value = if live { value } else { Json::Null };
            object(&format!("profile/p{name}"), version, version.into(), &value)
        };
        writes.into_iter().zip(versions).map(object).collect()
    })
}

proptest! {
    // Guards against a state that depends on which source answers when: a cache that
    // receives parts of the history from several sources, stale or repeated, must never go back and
    // must end in the same state.
    #[test]
    fn no_interleaving_reverts(
        history in history(),
        indices in proptest::collection::vec(any::<proptest::sample::Index>(), 0..120),
    ) {
        let mut cache = Cache::default();
        let mut newest: BTreeMap<_, Object> = BTreeMap::new();
        for index in indices {
            let offered = index.get(&history);
            let cached = cache.get(&offered.key()).map(|object| object.version);
            let adopted = cache.adopt(offered.clone()) == Adoption::Adopted;
            prop_assert_eq!(adopted, cached.is_none_or(|cached| cached < offered.version));
            let entry = newest.entry(offered.key()).or_insert_with(|| offered.clone());
            if entry.version < offered.version {
                *entry = offered.clone();
            }
            for (key, object) in &newest {
                prop_assert_eq!(cache.get(key), Some(object));
            }
        }
        let since: Vec<Version> = cache.since(Version::default()).map(|cached| cached.version).collect();
        prop_assert!(since.is_sorted());
        prop_assert_eq!(since.len(), newest.len());
        prop_assert_eq!(cache.revision(), since.last().copied().unwrap_or_default());
    }
}

// Guards against two values of one object under one version, of which each process keeps its own.
#[test]
fn another_write_under_the_same_version_is_noticed() {
    let value = |hunt: &str| json!({ "hunt": hunt });
    let mut cache = Cache::default();
    cache.adopt(object("profile/fast", 11, 1, &value("6ms")));
    let position = Version::new(11).in_era(Era::new(1));
    let other = Object {
        position,
        ..object("profile/fast", 11, 2, &value("7ms"))
    };
    cache.apply_list(position, vec![other.clone()], &[]);
    assert_eq!(
        cache.get(&key("profile/fast")).unwrap().write_id,
        other.write_id
    );
}
