//! Guards the fakes and the reproducibility of runs; a fault there makes every figure wrong.

use usher_bench::model::{Calendar, Deployment, Ending, Host, Plan, Shape};
use usher_bench::subject::{Choice, Kind, Options};
use usher_types::{Span, Time};

const SHAPE: Shape = Shape {
    flows: 20,
    ramp: Span::from_secs(1),
    end: Span::from_secs(5),
    load: 0.5,
    rush: Some((Span::from_secs(3), Span::from_secs(4), 3.0)),
    churn: true,
    skip_long: false,
};
const WINDOW: (Time, Time) = (Time::ZERO, Time::from_micros(5_000_000));

// A hash map's order or a clock reading in a decision changes the second run.
#[test]
fn same_seed_gives_same_result() {
    let site = Deployment::bengal();
    let plan = Plan::draw(&site, SHAPE, 7);
    assert_eq!(plan, Plan::draw(&site, SHAPE, 7));
    let kinds = [
        Kind::System(Options {
            weights: true,
            ..Options::default()
        }),
        Kind::Baseline(Choice::TwoChoices, Some(5)),
        Kind::Oracle,
    ];
    for kind in kinds {
        let run = || kind.run(&site, &plan, WINDOW, 7);
        assert_eq!(run(), run(), "{kind:?}");
    }
}

// Requests that vanish in the fake fabric would pass for refused ones.
#[test]
fn each_request_ends() {
    let site = Deployment::riga();
    let plan = Plan::draw(&site, SHAPE, 3);
    for kind in [
        Kind::System(Options::default()),
        Kind::Baseline(Choice::Hash, None),
        Kind::Oracle,
    ] {
        let tally = kind.run(&site, &plan, WINDOW, 3);
        assert!(tally.endings.iter().all(Option::is_some), "{kind:?}");
        assert_eq!(tally.broken, 0, "{kind:?}");
    }
}

// Without its deadline rule the oracle would be no upper limit.
#[test]
fn oracle_answers_only_in_time() {
    let site = Deployment::riga();
    let plan = Plan::draw(&site, SHAPE, 5);
    let tally = Kind::Oracle.run(&site, &plan, WINDOW, 5);
    let late = (0..plan.arrivals.len()).filter(|number| {
        let answered = matches!(tally.endings[*number], Some((_, Ending::Answered)));
        answered && tally.latency(&site, &plan, *number).is_none()
    });
    assert_eq!(late.count(), 0);
}

// Work left out must not shift the draws of the rest.
#[test]
fn leaving_out_long_work_keeps_the_rest() {
    let site = Deployment::bengal();
    let mut mixed = Plan::draw(&site, SHAPE, 9).arrivals;
    mixed.retain(|arrival| !site.mix[arrival.kind].long);
    let short = Plan::draw(
        &site,
        Shape {
            skip_long: true,
            ..SHAPE
        },
        9,
    );
    assert_eq!(mixed, short.arrivals);
}

// Busy time outside the window or a wrong speed would distort the imbalance.
#[test]
fn host_counts_busy_time_in_window() {
    let at = |millis| Time::ZERO + Span::from_millis(millis);
    let mut host = Host::new(0.5, 1, (at(10), at(20)));
    assert_eq!(
        host.length(at(0), Span::from_millis(4)),
        Span::from_millis(8)
    );
    host.begin();
    assert!(!host.has_free());
    host.end(at(5), at(13));
    assert_eq!(host.used, Span::from_millis(3));
    host.cold = 4.0;
    host.warm = at(30);
    assert_eq!(
        host.length(at(0), Span::from_millis(4)),
        Span::from_millis(32)
    );
}

// Events of one time must keep their order, or packets of a flow overtake each other.
#[test]
fn calendar_keeps_order() {
    let mut calendar = Calendar::default();
    for (at, event) in [(5, 'b'), (1, 'a'), (5, 'c')] {
        calendar.add(Time::from_micros(at), event);
    }
    let order: Vec<char> = std::iter::from_fn(|| calendar.pop())
        .map(|entry| entry.1)
        .collect();
    assert_eq!(order, ['a', 'b', 'c']);
}
