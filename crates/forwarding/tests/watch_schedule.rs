//! When the balancers' calls for changes end.

use usher_forwarding::WatchSchedule;
use usher_types::Span;

const LONGEST: Span = Span::from_secs(10);

// Ends of a balancer's calls after a change, within `within`.
fn ends(rank: usize, balancers: usize, within: Span) -> Vec<Span> {
    let period = WatchSchedule::period(LONGEST, balancers);
    let schedule = WatchSchedule::new(period, rank, balancers);
    let mut ends = Vec::new();
    let mut end = Span::ZERO;
    loop {
        end = end + schedule.wait(end);
        if end > within {
            return ends;
        }
        ends.push(end);
    }
}

/// Guards against calls that all begin with a change and end together: a silence that swallows them, or
/// the answers to all that wait, hides changes from all balancers.
#[test]
fn some_balancer_calls_every_few_seconds() {
    let within = Span::from_secs(60);
    for balancers in 1..=40 {
        let mut all: Vec<Span> = (0..balancers)
            .flat_map(|rank| ends(rank, balancers, within))
            .collect();
        all.sort_unstable();
        assert_eq!(all[0], Span::from_secs(1), "{balancers} balancers");
        let gaps = all.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = gaps.max().unwrap();
        // An unanswered call is noticed 1 s later, and the platform's bounds are 4 s and more.
        assert!(
            longest <= Span::from_secs(3),
            "{balancers} balancers: {longest}"
        );
    }
}

/// Guards against short calls that go on while nothing changes, which the store would pay for.
#[test]
fn without_a_change_calls_are_long() {
    for rank in 0..20 {
        let ends = ends(rank, 20, Span::from_secs(45));
        assert!(ends[0] <= LONGEST);
        assert!(ends.windows(2).all(|pair| pair[1] - pair[0] == LONGEST));
    }
}

/// Guards against balancers whose calls end together for good once one of them has called out of turn,
/// and against calls out of turn that are short.
#[test]
fn a_call_out_of_turn_ends_in_turn() {
    for balancers in [1, 2, 7, 40] {
        let period = WatchSchedule::period(LONGEST, balancers);
        let least = Span::from_micros(period.as_micros() / 4);
        for rank in 0..balancers {
            let schedule = WatchSchedule::new(period, rank, balancers);
            let first = schedule.wait(Span::ZERO);
            for millis in (600..30_000).step_by(130) {
                let since = Span::from_millis(millis);
                let wait = schedule.wait(since);
                assert!(wait >= least && wait < period + least, "{wait}");
                let turns = (since + wait - first).as_micros();
                assert!(turns.is_multiple_of(period.as_micros()));
            }
        }
    }
}

/// Guards against a balancer that is alone, or nearly so, and sees a change only after a long call.
#[test]
fn a_small_fleet_calls_more_often() {
    let periods = [0, 1, 2, 4, 100].map(|balancers| WatchSchedule::period(LONGEST, balancers));
    assert_eq!(periods, [3, 3, 6, 10, 10].map(Span::from_secs));
}
