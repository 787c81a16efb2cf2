//! When objects of a restored store may be edited.

use usher_config::RestoreWait;
use usher_types::{Era, Span, Time, Version};

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

// Guards against an edit of a value from a copy before the newer one is written again.
#[test]
fn edits_of_an_earlier_era_wait() {
    let rows = [
        // Eras seen as `[millis, era]`, time and era of the edit, and the wait.
        (&[][..], 0, 0, 0),
        (&[[100, 0]], 100, 0, 0),
        (&[[100, 1]], 100, 0, 3_000),
        (&[[100, 1]], 1_100, 0, 2_000),
        (&[[100, 1]], 3_100, 0, 0),
        (&[[100, 1]], 9_000, 0, 0),
        (&[[100, 1]], 100, 1, 0),
        (&[[100, 1], [2_000, 1]], 3_000, 0, 100),
        (&[[100, 1], [9_000, 2]], 9_000, 1, 3_000),
        (&[[100, 2], [9_000, 1]], 9_000, 1, 0),
    ];
    for (seen, now, era, expected) in rows {
        let mut wait = RestoreWait::default();
        for [millis, era] in seen {
            wait.observe(at(*millis), Era::new(*era));
        }
        let base = Version::new(4).in_era(Era::new(era));
        let found = wait.before_edit(at(now), base);
        assert_eq!(found, Span::from_millis(expected), "{seen:?} {now} {era}");
    }
}
