//! Leases that a restore of the store has lost.

use usher_config::{Condition, Kind, LeaseRecord, Object, StoreLease, WriteId};
use usher_types::{Era, Peer, Span, Time, Version};

fn peer(name: &str) -> Peer {
    Peer::Instance(name.parse().unwrap())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

// Guards against a second holder while the first, which has not heard of the restore, may act.
#[test]
fn a_lost_lease_is_not_taken_within_its_term() {
    let term = Span::from_secs(3);
    let first = StoreLease::new("watcher".parse().unwrap(), peer("riga-centrs-1"), term);
    let held = first.granted(Time::ZERO, Version::new(5));
    let mut second = StoreLease::new("watcher".parse().unwrap(), peer("riga-centrs-2"), term);
    second.observe(at(1_000), None);
    let taken = second.acquire(at(1_000), WriteId::new(2));
    assert!(
        taken.is_none() || held.check(at(1_000)).is_err(),
        "two holders"
    );
}

// Guards against a lost lease that no process which has seen it can take again.
#[test]
fn a_lost_lease_can_be_taken_again() {
    let term = Span::from_secs(3);
    let mut lease = StoreLease::new("watcher".parse().unwrap(), peer("riga-centrs-2"), term);
    let record = LeaseRecord {
        holder: peer("riga-centrs-1"),
        term,
    };
    let seen = Object {
        kind: Kind::Lease,
        name: "watcher".parse().unwrap(),
        version: Version::new(5),
        position: Version::new(5),
        write_id: WriteId::new(1),
        value: Some(record.into()),
    };
    lease.observe(Time::ZERO, Some(&seen));
    // The store is in era 1 now and has lost the lease.
    lease.observe(at(1_000), None);
    lease.observe(at(60_000), None);
    let write = lease.acquire(at(60_000), WriteId::new(2)).unwrap();
    let condition = write.change.condition;
    assert!(!condition.is_outdated(Era::new(1)), "{condition:?}");
    assert_eq!(condition, Condition::Absent);
}
