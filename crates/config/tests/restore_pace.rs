//! Pauses of processes that write lost objects again.

use usher_config::{RestorePace, RestoreWait};
use usher_types::{Era, Span, Time, Version};

// Guards against all processes of a large deployment that call the restored store at once, and
// against a small deployment that waits needlessly.
#[test]
fn pauses_grow_with_processes_and_shrink_with_objects() {
    let rows = [
        // Processes, lost objects, and the longest delay and pause in milliseconds.
        (0, 0, 500, 500),
        (1, 1, 500, 500),
        (8, 10, 500, 50),
        (9, 10, 1_000, 50),
        (32, 100, 2_000, 5),
        (80, 1, 2_000, 500),
        (300, 500, 2_000, 1),
    ];
    for (processes, lost, delay, pause) in rows {
        let expected = RestorePace {
            delay: Span::from_millis(delay),
            pause: Span::from_millis(pause),
        };
        assert_eq!(RestorePace::new(processes, lost), expected);
    }
}

// Guards against an edit of an older value before the only process that knows the newer one has
// written it again.
#[test]
fn edits_wait_until_all_lost_objects_can_be_written() {
    let mut wait = RestoreWait::default();
    wait.observe(Time::ZERO, Era::new(1));
    let edit = wait.before_edit(Time::ZERO, Version::new(4));
    for processes in [10, 100, 1_000] {
        let pace = RestorePace::new(processes, 1);
        assert!(pace.delay < edit, "{processes}: {} {edit}", pace.delay);
    }
}
