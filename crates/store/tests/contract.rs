//! Tests the client against a stand-in of the platform's store with injected faults.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use async_std::task;
use serde_json::{Value as Json, json};
use usher_config::{Cache, Condition, Kind, Object, ObjectKey, Value};
use usher_platform::{Client, Request};
use usher_platform_standin::store as standin;
use usher_store::{Limits, Store, StoreError};
use usher_types::{Profile, Span, Version};

// Kind of the project's objects in the store.
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

    fn faults(&self, faults: Json) {
        let faults = serde_json::from_value(faults).unwrap();
        self.server.set_faults(faults);
    }

    async fn create(&self, name: &str) -> Version {
        self.store
            .put(key(name), Condition::Absent, profile(5))
            .await
            .unwrap()
    }

    // Writes an object as another tool would, without the client.
    async fn write(&self, name: &str, spec: &Json) -> u16 {
        let request = Request::create(KIND, name, spec);
        let client = Client::new(address(&self.server));
        let reply = client.call(&request, Span::from_secs(2)).await;
        reply.unwrap().status
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

fn hunt(object: Option<Object>) -> Option<Span> {
    match object?.value? {
        Value::Profile(profile) => Some(profile.hunt),
        _ => None,
    }
}

// Guards against a second creation, or a write to an old version, that overwrites silently.
#[async_std::test]
async fn conditional_writes_do_not_overwrite() {
    let fixture = Fixture::new();
    let first = fixture.create("fast").await;
    let again = fixture
        .store
        .put(key("fast"), Condition::Absent, profile(6))
        .await;
    assert_matches!(again, Err(StoreError::Conflict(conflict)) => {
        assert_eq!(conflict.diff().to_string(), "hunt: 5ms -> 6ms\n");
        assert!(!conflict.uncertain);
    });
    let second = Condition::Version(first);
    let second = fixture
        .store
        .put(key("fast"), second, profile(7))
        .await
        .unwrap();
    let late = fixture
        .store
        .put(key("fast"), Condition::Version(first), profile(8))
        .await;
    assert_matches!(late, Err(StoreError::Conflict(_)));
    let object = fixture.store.get(&key("fast")).await.unwrap();
    assert_eq!(object.as_ref().map(|object| object.version), Some(second));
    assert_eq!(hunt(object), Some(Span::from_millis(7)));
}

// Guards against a deleted object that looks like one that never existed.
#[async_std::test]
async fn tombstones_are_seen_and_replaced() {
    let fixture = Fixture::new();
    assert_eq!(fixture.store.get(&key("fast")).await.unwrap(), None);
    let created = fixture.create("fast").await;
    let deleted = fixture.store.delete(key("fast"), created).await.unwrap();
    let tombstone = fixture.store.get(&key("fast")).await.unwrap().unwrap();
    assert_eq!((tombstone.version, tombstone.value), (deleted, None));
    let listed = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!(listed.objects.len(), 1);
    assert!(fixture.create("fast").await > deleted);
}

// Guards against a write that is repeated, or reported as failed, because its answer was lost.
#[async_std::test]
async fn lost_answers_are_read_back() {
    let fixture = Fixture::new();
    fixture.faults(json!({ "lose_answers": 1 }));
    let version = fixture.create("fast").await;
    assert_eq!(version, Version::new(1));
    assert_eq!(fixture.server.stats().writes, 1);
    fixture.faults(json!({ "lose_answers": 1 }));
    let deleted = fixture.store.delete(key("fast"), version).await.unwrap();
    assert_eq!(deleted, Version::new(2));
}

// Guards against a stale read that makes a finished write look as if it had failed.
#[async_std::test]
async fn lost_answer_with_stale_reads_is_written_once() {
    let fixture = Fixture::new();
    fixture.faults(json!({ "lose_answers": 1, "stale": true }));
    assert_eq!(fixture.create("fast").await, Version::new(1));
    fixture.faults(json!({}));
    let listed = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!(listed.through, Version::new(1));
}

// Guards against a late answer that is matched to a later request.
#[async_std::test]
async fn late_answers_are_not_mixed_up() {
    let fixture = Fixture::new();
    fixture.create("slow").await;
    fixture.create("fast").await;
    fixture.faults(json!({ "delay_ms": 300 }));
    let late = fixture.store.get(&key("slow")).await;
    assert_matches!(late, Err(StoreError::Unreachable { .. }));
    fixture.faults(json!({}));
    for _ in 0..20 {
        let object = fixture.store.get(&key("fast")).await.unwrap().unwrap();
        assert_eq!(object.version, Version::new(2));
        task::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a call that never ends, and against an error that says wrongly whether a write
// may have taken effect.
#[async_std::test]
async fn outages_end_in_time_with_the_right_error() {
    let fixture = Fixture::new();
    for down in ["refuse", "hang"] {
        fixture.faults(json!({ "down": down }));
        let start = Instant::now();
        let read = fixture.store.get(&key("fast")).await;
        assert_matches!(read, Err(StoreError::Unreachable { .. }));
        let written = fixture
            .store
            .put(key("fast"), Condition::Absent, profile(5))
            .await;
        assert_matches!(written, Err(StoreError::Unknown { .. }));
        assert!(start.elapsed() < Duration::from_secs(4));
    }
    let unreachable = Store::new("127.0.0.1:1".parse().unwrap(), limits());
    let written = unreachable
        .put(key("fast"), Condition::Absent, profile(5))
        .await;
    assert_matches!(written, Err(StoreError::Unreachable { .. }));
}

// Guards against a call that fails in an outage shorter than its time limit.
#[async_std::test]
async fn short_outage_is_retried() {
    let fixture = Fixture::new();
    fixture.faults(json!({ "down": "refuse" }));
    let store = fixture.store.clone();
    let writer =
        task::spawn(async move { store.put(key("fast"), Condition::Absent, profile(5)).await });
    task::sleep(Duration::from_millis(300)).await;
    fixture.faults(json!({}));
    assert_eq!(writer.await.unwrap(), Version::new(1));
}

// Guards against a watch that misses a change or polls the store while it waits.
#[async_std::test]
async fn watch_waits_for_the_next_change() {
    let fixture = Fixture::new();
    let since = fixture.create("fast").await;
    let store = fixture.store.clone();
    let wait = Span::from_secs(2);
    let watch = task::spawn(async move { store.watch(None, since, wait).await });
    while fixture.server.stats().waiting == 0 {
        task::sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    fixture.create("other").await;
    let batch = watch.await.unwrap();
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(batch.objects.len(), 1);
    assert_eq!(fixture.server.stats().reads, 1);
    let mut cache = Cache::default();
    batch.apply_to(&mut cache);
    assert_eq!(
        cache.complete(),
        Version::default(),
        "version 1 was not seen"
    );
    let wait = Span::from_millis(50);
    let empty = fixture
        .store
        .watch(None, Version::new(2), wait)
        .await
        .unwrap();
    assert!(empty.objects.is_empty());
    assert_eq!(fixture.server.stats().waiting, 0);
}

// Guards against an object of a later release that makes all others unreadable.
#[async_std::test]
async fn unreadable_objects_do_not_hide_others() {
    let fixture = Fixture::new();
    let unknown = json!({ "value": { "colour": "orange" } });
    assert_eq!(fixture.write("profile.odd", &unknown).await, 201);
    assert_eq!(fixture.write("painting.odd", &unknown).await, 201);
    fixture.create("fast").await;
    let batch = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!(batch.objects.len(), 1);
    assert_eq!(batch.unreadable.len(), 2);
    for error in batch.unreadable {
        assert_matches!(error, StoreError::Value { .. });
    }
}

// Guards against one entry of another writer that stops all lists and watches, and against a list that
// counts an object as missing whose content alone is odd.
#[async_std::test]
async fn odd_entries_do_not_hide_others() {
    let fixture = Fixture::new();
    let since = fixture.create("fast").await;
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let named =
        |spec: &str| format!(r#"{{"meta":{{"name":"profile.odd","revision":1}},"spec":{spec}}}"#);
    for odd in [
        named(&deep),
        named("1e999"),
        named(r#"{"value":{"hunt":1e999}}"#),
        r#"{"meta":{"name":"profile.far","revision":99999999999999999999}}"#.to_owned(),
    ] {
        fixture.server.add_odd(KIND, &odd);
    }
    let batch = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!((batch.objects.len(), batch.unreadable.len()), (1, 4));
    assert!(batch.is_complete());
    let held = batch.held();
    assert!(
        held.contains(&key("odd")) && held.contains(&key("far")),
        "{held:?}"
    );
    fixture.create("other").await;
    // A watch reports the last change of each object only.
    let batch = fixture.store.watch(None, since, Span::ZERO).await.unwrap();
    assert_eq!((batch.objects.len(), batch.unreadable.len()), (1, 2));
    let long = "x".repeat(1 << 20);
    let long = format!(r#"{{"meta":{{"name":"{long}","revision":1}},"spec":{{}}}}"#);
    fixture.server.add_odd(KIND, &long);
    let batch = fixture.store.list(None, Version::default()).await.unwrap();
    assert!(batch.is_complete());
    let longest = batch.unreadable.iter().map(|error| error.to_string().len());
    assert!(
        longest.max() < Some(1_000),
        "an error quotes a name of any length"
    );
    fixture.server.add_odd(KIND, "7");
    let batch = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!(batch.objects.len(), 2);
    assert!(
        !batch.is_complete(),
        "an entry without a name may be any object"
    );
}

// Guards against a value above the limit that the client sends, or the store accepts.
#[async_std::test]
async fn values_have_a_limit() {
    let fixture = Fixture::new();
    let big = json!({ "value": "x".repeat(1 << 20) });
    assert_eq!(fixture.write("profile.big", &big).await, 413);
    let small = Limits {
        value: usher_types::ByteCount::new(10),
        ..limits()
    };
    let store = Store::new(address(&fixture.server), small);
    let refused = store.put(key("big"), Condition::Absent, profile(5)).await;
    assert_matches!(refused, Err(StoreError::TooLarge { .. }));
    assert_eq!(fixture.server.stats().writes, 0);
}

// Guards against a watch that never recovers after the store has dropped its history.
#[async_std::test]
async fn dropped_history_is_read_again() {
    let fixture = Fixture::new();
    let since = fixture.create("fast").await;
    fixture.create("other").await;
    fixture.faults(json!({ "forget": true }));
    let batch = fixture.store.watch(None, since, Span::ZERO).await.unwrap();
    assert_eq!(batch.objects.len(), 2);
    assert_eq!(batch.through, Version::new(2));
}

// Guards against a list that leaves out objects of later pages.
#[async_std::test]
async fn lists_have_all_pages() {
    let fixture = Fixture::new();
    let object = json!({ "value": Profile::default() });
    for number in 0..501 {
        let name = format!("profile.p-{number}");
        assert_eq!(fixture.write(&name, &object).await, 201);
    }
    let batch = fixture.store.list(None, Version::default()).await.unwrap();
    assert_eq!(batch.objects.len(), 501);
    assert!(batch.objects.is_sorted_by_key(|object| object.version));
}

// Guards against an object that stays in effect after another tool has removed it.
#[async_std::test]
async fn removal_by_another_tool_is_a_deletion() {
    let fixture = Fixture::new();
    let since = fixture.create("fast").await;
    let request = Request::delete(KIND, "profile.fast", since);
    let client = Client::new(address(&fixture.server));
    let reply = client.call(&request, Span::from_secs(2)).await.unwrap();
    assert_eq!(reply.status, 200);
    let batch = fixture.store.watch(None, since, Span::ZERO).await.unwrap();
    assert_matches!(batch.objects.as_slice(), [object] => {
        assert_eq!((object.version, &object.value), (Version::new(2), &None));
    });
}

// Guards against a refused creation that is reported as an error other than a conflict because the
// answer does not contain the object.
#[async_std::test]
async fn refusals_without_the_object_are_read_back() {
    let fixture = Fixture::new();
    fixture.create("fast").await;
    fixture.faults(json!({ "bare": true }));
    let again = fixture
        .store
        .put(key("fast"), Condition::Absent, profile(6))
        .await;
    assert_matches!(again, Err(StoreError::Conflict(_)));
}
