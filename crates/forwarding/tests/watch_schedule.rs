//! When the balancers' calls for changes end.

use usher_forwarding::WatchSchedule;
use usher_types::Span;

const LONGEST: Span = Span::from_secs(10);

fn waits(rank: usize, calls: usize) -> Vec<Span> {
    let mut schedule = WatchSchedule::default();
    let calls = 0..calls;
    calls.map(|_| schedule.next_wait(LONGEST, rank)).collect()
}

/// Guards against calls that all begin with a change and end together: a silence that swallows them
/// hides later changes from all balancers.
#[test]
fn a_few_balancers_call_again_early_after_a_change() {
    let firsts: Vec<Span> = (0..5).map(|rank| waits(rank, 1)[0]).collect();
    let early = [1, 2, 3].map(Span::from_secs);
    assert_eq!(firsts[..3], early);
    assert_eq!(firsts[3..], [LONGEST; 2]);
    let mut schedule = WatchSchedule::default();
    schedule.next_wait(LONGEST, 0);
    schedule.restart();
    assert_eq!(schedule.next_wait(LONGEST, 0), early[0]);
}

/// Guards against short calls that go on while nothing changes, which the store would pay for.
#[test]
fn without_a_change_calls_are_long() {
    for rank in 0..5 {
        assert_eq!(waits(rank, 4)[1..], [LONGEST; 3]);
    }
    let mut schedule = WatchSchedule::default();
    let short = Span::from_millis(400);
    assert_eq!(schedule.next_wait(short, 2), short, "no call is prolonged");
}

/// Guards against a balancer that is alone, or nearly so, and sees a change only after a long call.
#[test]
fn a_small_fleet_calls_more_often() {
    let periods = [0, 1, 2, 4, 100].map(|balancers| WatchSchedule::period(LONGEST, balancers));
    assert_eq!(periods, [3, 3, 6, 10, 10].map(Span::from_secs));
}
