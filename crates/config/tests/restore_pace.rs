//! Pauses of processes that write lost objects again.

use usher_config::RestorePace;
use usher_types::Span;

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
        (40, 100, 2_500, 5),
        (80, 1, 5_000, 500),
        (300, 500, 5_000, 1),
    ];
    for (processes, lost, delay, pause) in rows {
        let expected = RestorePace {
            delay: Span::from_millis(delay),
            pause: Span::from_millis(pause),
        };
        assert_eq!(RestorePace::new(processes, lost), expected);
    }
}
