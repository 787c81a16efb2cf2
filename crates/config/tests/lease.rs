//! Leases in the store with paused holders, and the rollout of a version.

mod support;

use serde_json::json;
use support::object;
use usher_config::{Condition, Lapsed, Report, Rollout, RolloutState, StoreLease, WriteId};
use usher_types::{Era, Incarnation, Peer, Span, Time, Version};

const ID: WriteId = WriteId::new(1);

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn peer(name: &str) -> Peer {
    Peer::Instance(name.parse().unwrap())
}

fn lease(name: &str) -> StoreLease<Lapsed> {
    StoreLease::new("watcher".parse().unwrap(), peer(name), Span::from_secs(3))
}

// Guards against a lease that is taken while its holder may still act, drift included.
#[test]
fn lease_is_taken_only_after_its_term() {
    let record = json!({ "holder": { "Instance": "one" }, "term": "3s" });
    let held = object("lease/watcher", 5, 1, &record);
    let mut contender = lease("two");
    assert!(
        contender.acquire(at(9_000), ID).is_none(),
        "nothing was read yet"
    );
    contender.observe(at(0), Some(&held));
    contender.observe(at(2_000), Some(&held));
    assert!(contender.acquire(at(3_059), ID).is_none());
    let taken = contender.acquire(at(3_060), ID).unwrap();
    assert_eq!(taken.change.condition, Condition::Version(Version::new(5)));
    let renewed = object("lease/watcher", 6, 1, &record);
    contender.observe(at(3_060), Some(&renewed));
    assert!(
        contender.acquire(at(6_000), ID).is_none(),
        "a renewal starts the term again"
    );
    contender.observe(at(6_000), Some(&held));
    assert!(
        contender.acquire(at(6_120), ID).is_some(),
        "a stale read does not"
    );
    contender.observe(
        at(6_200),
        Some(&object("lease/watcher", 7, 1, &json!(null))),
    );
    assert_eq!(
        contender.acquire(at(6_200), ID).unwrap().change.condition,
        Condition::Absent
    );
}

// Guards against a holder that acts or writes after a pause longer than its term.
#[test]
fn paused_holder_cannot_act() {
    let held = lease("one").granted(at(100), Version::new(5));
    assert_eq!(held.check(at(3_099)).unwrap(), Version::new(5));
    let renewal = held.renewal(at(3_099), ID).unwrap();
    assert_eq!(
        renewal.change.condition,
        Condition::Version(Version::new(5))
    );
    assert_eq!(held.check(at(3_100)).unwrap_err().code(), "MU-2015");
    assert!(held.renewal(at(3_100), ID).is_err());
    assert!(held.release(at(3_100), ID).is_err());
    assert!(
        held.lapse().acquire(at(9_000), ID).is_none(),
        "the lease has to be read again first"
    );
}

// Guards against a lease that two processes hold, because a restored store has lost it.
#[test]
fn lease_ends_with_the_era_of_the_store() {
    let held = lease("one").granted(at(0), Version::new(9));
    let held = held.in_era(Era::default()).unwrap();
    let lapsed = held.in_era(Era::new(1)).unwrap_err();
    assert!(lapsed.acquire(at(9_000), ID).is_none(), "not read again");
    let record = json!({ "holder": { "Instance": "one" }, "term": "3s" });
    let mut contender = lease("two");
    contender.observe(at(0), Some(&object("lease/watcher", 9, 1, &record)));
    let position = Version::new(5).in_era(Era::new(1));
    let restored = usher_config::Object {
        position,
        ..object("lease/watcher", 5, 1, &record)
    };
    contender.observe(at(3_000), Some(&restored));
    assert!(contender.acquire(at(6_059), ID).is_none());
    let taken = contender.acquire(at(6_060), ID).unwrap();
    assert_eq!(taken.change.condition, Condition::Version(position));
}

// Guards against a lease that a restore brings back and that its holder writes again.
#[test]
fn leases_are_not_written_again() {
    let record = json!({ "holder": { "Instance": "one" }, "term": "3s" });
    let mut cache = usher_config::Cache::default();
    cache.adopt(object("lease/watcher", 9, 1, &record));
    cache.apply_list(Version::new(5).in_era(Era::new(1)), Vec::new(), &[]);
    assert_eq!(cache.lost().count(), 0);
}

// Guards against a version reported as in force while a process lags, restarted or never reported.
#[test]
fn rollout_names_the_processes_that_lack_the_version() {
    let mut rollout = Rollout::new(Version::new(9));
    rollout.expect(peer("one"));
    rollout.expect(peer("two"));
    let mut report = |name: &str, incarnation: u64, revision: u64| {
        rollout.report(Report {
            peer: peer(name),
            incarnation: Incarnation::new(incarnation),
            revision: Version::new(revision),
        });
        rollout.state()
    };
    let waiting = |lagging: &[(&str, u64)], unreported: &[&str]| RolloutState::Waiting {
        lagging: lagging
            .iter()
            .map(|it| (peer(it.0), Version::new(it.1)))
            .collect(),
        unreported: unreported.iter().map(|name| peer(name)).collect(),
    };
    assert_eq!(report("one", 1, 8), waiting(&[("one", 8)], &["two"]));
    assert_eq!(report("one", 1, 9), waiting(&[], &["two"]));
    assert_eq!(
        report("one", 1, 8),
        waiting(&[], &["two"]),
        "reports arrive out of order"
    );
    assert_eq!(report("two", 1, 10), RolloutState::InForce);
    assert_eq!(
        report("three", 1, 4),
        waiting(&[("three", 4)], &[]),
        "it joined after the others"
    );
    assert_eq!(report("three", 1, 9), RolloutState::InForce);
    assert_eq!(
        report("two", 2, 0),
        waiting(&[("two", 0)], &[]),
        "it restarted"
    );
    assert_eq!(
        report("two", 1, 10),
        waiting(&[("two", 0)], &[]),
        "a late report of an earlier incarnation is ignored"
    );
}
