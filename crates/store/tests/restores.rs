//! Tests the client against a stand-in of the platform's store that is restored from a copy.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use async_std::task;
use serde_json::{Value as Json, json};
use usher_config::{Cache, Condition, Kind, Object, ObjectKey, Value};
use usher_platform::{Client, Request};
use usher_platform_standin::store as standin;
use usher_store::{Limits, Store, StoreError};
use usher_types::{Era, Profile, Span, Version};

const KIND: &str = "marigoldusher";

struct Fixture {
    server: standin::Store,
    store: Store,
}

impl Fixture {
    fn new() -> Self {
        let server = standin::Store::start("127.0.0.1:0".parse().unwrap());
        let store = Store::new(address(&server), limits());
        Self { server, store }
    }

    fn faults(&self, faults: &Json) {
        let faults = serde_json::from_value(faults.clone()).unwrap();
        self.server.set_faults(faults);
    }

    async fn put(&self, name: &str, condition: Condition, hunt: u64) -> Version {
        let written = self.store.put(key(name), condition, profile(hunt)).await;
        written.unwrap()
    }

    // Another client, which knows nothing yet.
    fn other(&self) -> Store {
        Store::new(address(&self.server), limits())
    }

    // Creates an object as another process would, which has read the store before.
    async fn create_elsewhere(&self, name: &str, hunt: u64) -> Version {
        let store = self.other();
        store.get(&key(name)).await.unwrap();
        let created = store.put(key(name), Condition::Absent, profile(hunt)).await;
        created.unwrap()
    }

    async fn read_into(&self, cache: &mut Cache) {
        let batch = self.store.watch(None, cache.complete(), Span::ZERO).await;
        batch.unwrap().apply_to(cache);
    }

    async fn hunt(&self, name: &str) -> Option<Span> {
        hunt(self.store.get(&key(name)).await.unwrap().as_ref())
    }
}

fn address(server: &standin::Store) -> SocketAddrV4 {
    server.address.to_string().parse().unwrap()
}

fn limits() -> Limits {
    Limits {
        attempt: Span::from_millis(200),
        total: Span::from_millis(1_500),
        first_pause: Span::from_millis(10),
        max_pause: Span::from_millis(50),
        ..Limits::default()
    }
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new(Kind::Profile, name.parse().unwrap())
}

fn profile(hunt: u64) -> Value {
    let hunt = Span::from_millis(hunt);
    Profile {
        hunt,
        ..Profile::default()
    }
    .into()
}

fn hunt(object: Option<&Object>) -> Option<Span> {
    match object?.value.as_ref()? {
        Value::Profile(profile) => Some(profile.hunt),
        _ => None,
    }
}

fn cached(cache: &Cache, name: &str) -> Option<Span> {
    hunt(cache.get(&key(name)))
}

// Guards against a cache that takes a value from a copy for a new one, or a new one for an old one.
#[async_std::test]
async fn later_era_outranks_larger_revisions() {
    let fixture = Fixture::new();
    let first = fixture.put("fast", Condition::Absent, 5).await;
    let copy = fixture.server.copy();
    let second = fixture.put("fast", Condition::Version(first), 6).await;
    let mut cache = Cache::default();
    fixture.read_into(&mut cache).await;
    fixture.server.restore(copy);
    fixture.read_into(&mut cache).await;
    assert_eq!(cached(&cache, "fast"), Some(Span::from_millis(6)));
    assert_eq!(cache.complete(), first.in_era(Era::new(1)));
    let restored = fixture.store.get(&key("fast")).await.unwrap().unwrap();
    assert_eq!(restored.version, first);
    assert_eq!(restored.position, first.in_era(Era::new(1)));
    let third = Condition::Version(restored.position);
    let third = fixture.put("fast", third, 7).await;
    assert_eq!(third, second.in_era(Era::new(1)), "given out again");
    fixture.read_into(&mut cache).await;
    assert_eq!(cached(&cache, "fast"), Some(Span::from_millis(7)));
    assert_eq!(cache.lost().count(), 0);
}

// Guards against a watch that goes on from its revision in a history that gave it out again.
#[async_std::test]
async fn watch_of_an_earlier_era_reads_everything() {
    let fixture = Fixture::new();
    fixture.put("fast", Condition::Absent, 5).await;
    let copy = fixture.server.copy();
    let since = fixture.put("lost", Condition::Absent, 6).await;
    fixture.server.restore(copy);
    for name in ["a", "b"] {
        fixture.create_elsewhere(name, 7).await;
    }
    let batch = fixture.store.watch(None, since, Span::ZERO).await.unwrap();
    assert!(batch.is_complete());
    assert_eq!(batch.through, Version::new(3).in_era(Era::new(1)));
    assert_eq!(batch.objects.len(), 3);
}

// Guards against a waiting watch that hangs, or is answered in its earlier era, after a restore.
#[async_std::test]
async fn waiting_watch_notices_the_restore() {
    let fixture = Fixture::new();
    let since = fixture.put("fast", Condition::Absent, 5).await;
    let store = fixture.store.clone();
    let wait = Span::from_secs(5);
    let watch = task::spawn(async move { store.watch(None, since, wait).await });
    while fixture.server.stats().waiting == 0 {
        task::sleep(Duration::from_millis(5)).await;
    }
    let restored = Instant::now();
    fixture.server.restore(fixture.server.copy());
    let batch = watch.await.unwrap();
    assert!(restored.elapsed() < Duration::from_secs(1));
    assert!(batch.is_complete());
    assert_eq!(batch.through, since.in_era(Era::new(1)));
}

// Guards against lost objects that later processes never see, also when several write them again.
#[async_std::test]
async fn lost_objects_are_written_again() {
    let fixture = Fixture::new();
    let first = fixture.put("fast", Condition::Absent, 5).await;
    let copy = fixture.server.copy();
    fixture.put("fast", Condition::Version(first), 6).await;
    fixture.put("lost", Condition::Absent, 7).await;
    let mut cache = Cache::default();
    fixture.read_into(&mut cache).await;
    let before = cache.clone();
    fixture.server.restore(copy);
    fixture.read_into(&mut cache).await;
    let lost: Vec<Object> = cache.lost().cloned().collect();
    assert_eq!(lost.len(), 2);
    for object in &lost {
        let stored = fixture.store.write_again(object).await.unwrap();
        assert_eq!(stored.version, object.version);
        assert!(stored.position > object.position);
    }
    let writes = fixture.server.stats().writes;
    for object in &lost {
        fixture.other().write_again(object).await.unwrap();
    }
    assert_eq!(fixture.server.stats().writes, writes, "written once");
    fixture.read_into(&mut cache).await;
    assert_eq!(cache.lost().count(), 0);
    let mut fresh = Cache::default();
    fixture.read_into(&mut fresh).await;
    for name in ["fast", "lost"] {
        let known = before.get(&key(name)).unwrap();
        let read = fresh.get(&key(name)).unwrap();
        assert_eq!(
            (read.version, read.write_id, &read.value),
            (known.version, known.write_id, &known.value)
        );
    }
}

// Guards against a lost object that replaces what an operator wrote after the restore.
#[async_std::test]
async fn newer_values_are_not_written_over() {
    let fixture = Fixture::new();
    let copy = fixture.server.copy();
    fixture.put("fast", Condition::Absent, 5).await;
    let mut cache = Cache::default();
    fixture.read_into(&mut cache).await;
    fixture.server.restore(copy);
    fixture.read_into(&mut cache).await;
    let lost = cache.lost().next().cloned().unwrap();
    fixture.put("fast", Condition::Absent, 8).await;
    let stored = fixture.store.write_again(&lost).await.unwrap();
    assert_eq!(hunt(Some(&stored)), Some(Span::from_millis(8)));
    assert_eq!(fixture.hunt("fast").await, Some(Span::from_millis(8)));
}

// Guards against a condition of an earlier era that holds by accident in the restored store.
#[async_std::test]
async fn conditions_end_with_their_era() {
    let fixture = Fixture::new();
    let copy = fixture.server.copy();
    let read = fixture.put("fast", Condition::Absent, 5).await;
    fixture.server.restore(copy);
    let again = fixture.create_elsewhere("fast", 6).await;
    assert_eq!(again.get(), read.get(), "given out again");
    assert_eq!(fixture.hunt("fast").await, Some(Span::from_millis(6)));
    let late = Condition::Version(read);
    let late = fixture.store.put(key("fast"), late, profile(7)).await;
    assert_matches!(late, Err(StoreError::Restored(_)));
    assert_eq!(fixture.hunt("fast").await, Some(Span::from_millis(6)));
}

// Guards against a write acknowledged in a later era than the one that its writer knew.
#[async_std::test]
async fn writers_learn_the_era_from_the_answer() {
    let fixture = Fixture::new();
    let read = fixture.put("fast", Condition::Absent, 5).await;
    let copy = fixture.server.copy();
    fixture.server.restore(copy);
    let unsure = fixture
        .store
        .put(key("fast"), Condition::Version(read), profile(6))
        .await;
    assert_matches!(unsure, Err(StoreError::Restored(_)));
    assert_eq!(fixture.hunt("fast").await, Some(Span::from_millis(5)));
    let created = fixture.other();
    created
        .put(key("new"), Condition::Absent, profile(7))
        .await
        .unwrap();
    let object = fixture.store.get(&key("new")).await.unwrap().unwrap();
    assert_eq!(object.version, object.position);
    assert_eq!(object.version.era(), Era::new(1));
}

// Guards against a write under way during the restore that is reported as done.
#[async_std::test]
async fn write_lost_with_the_restore_is_made_again() {
    let fixture = Fixture::new();
    let copy = fixture.server.copy();
    fixture.faults(&json!({ "delay_ms": 100 }));
    let store = fixture.store.clone();
    let writer =
        task::spawn(async move { store.put(key("fast"), Condition::Absent, profile(5)).await });
    while fixture.server.stats().writes == 0 {
        task::sleep(Duration::from_millis(2)).await;
    }
    fixture.server.restore(copy);
    fixture.faults(&json!({}));
    writer.await.unwrap();
    let object = fixture.store.get(&key("fast")).await.unwrap().unwrap();
    assert_eq!(object.version.era(), Era::new(1));
}

// Guards against objects of earlier builds and of other tools, which state no era, that outrank
// later ones after a restore.
#[async_std::test]
async fn objects_without_an_era_rank_lowest() {
    let fixture = Fixture::new();
    let spec = json!({ "write_id": "1", "value": Profile::default() });
    let request = Request::create(KIND, "profile.fast", &spec);
    let client = Client::new(address(&fixture.server));
    client.call(&request, Span::from_secs(2)).await.unwrap();
    fixture.server.restore(fixture.server.copy());
    let object = fixture.store.get(&key("fast")).await.unwrap().unwrap();
    assert_eq!(object.version, Version::new(1));
    let condition = Condition::Version(object.position);
    let written = fixture.put("fast", condition, 5).await;
    assert!(written > object.version);
}

// Guards against an answer of the store before its restore that is taken for its present state.
#[async_std::test]
async fn answers_of_an_earlier_era_are_ignored() {
    let server = standin::answer_in_eras(vec![2, 1, 2]).unwrap();
    let store = Store::new(server, limits());
    for late in [0, 1] {
        assert_eq!(store.get(&key("fast")).await.unwrap(), None);
        assert_eq!(store.late_answers(), late);
        assert_eq!(store.era(), Era::new(2));
    }
}

// Guards against a write of an earlier era that outranks an acknowledged one.
#[async_std::test]
async fn an_unaware_writer_does_not_outrank_a_lost_value() {
    let fixture = Fixture::new();
    let first = fixture.put("fast", Condition::Absent, 5).await;
    let unaware = fixture.other();
    unaware.get(&key("fast")).await.unwrap();
    let copy = fixture.server.copy();
    fixture.put("fast", Condition::Version(first), 6).await;
    let mut cache = Cache::default();
    fixture.read_into(&mut cache).await;
    fixture.server.restore(copy);
    for name in ["a", "b"] {
        fixture.create_elsewhere(name, 1).await;
    }
    let late = unaware.put(key("fast"), Condition::Version(first), profile(7));
    assert_matches!(late.await, Err(StoreError::Restored(_)));
    fixture.read_into(&mut cache).await;
    let lost: Vec<Object> = cache.lost().cloned().collect();
    for object in &lost {
        fixture.store.write_again(object).await.unwrap();
    }
    let stored = fixture.store.get(&key("fast")).await.unwrap().unwrap();
    assert_eq!(
        hunt(Some(&stored)),
        Some(Span::from_millis(6)),
        "{} at {}",
        stored.version,
        stored.position
    );
}

// Guards against an object that cannot be decoded and hides that others are lost.
#[async_std::test]
async fn an_unreadable_object_does_not_hide_lost_ones() {
    let fixture = Fixture::new();
    let request = Request::create(KIND, "profile.odd", &json!({ "value": 3 }));
    let client = Client::new(address(&fixture.server));
    client.call(&request, Span::from_secs(2)).await.unwrap();
    let copy = fixture.server.copy();
    fixture.put("lost", Condition::Absent, 7).await;
    let mut cache = Cache::default();
    fixture.read_into(&mut cache).await;
    fixture.server.restore(copy);
    fixture.read_into(&mut cache).await;
    assert_eq!(cache.lost().count(), 1);
}
