//! Tests of the simulation: a fault in it makes every figure wrong.

use usher_bench::model::{Deployment, Ending, EventQueue, Host, LoadProfile, Workload};
use usher_bench::subject::{Balancing, Options, SubjectKind};
use usher_types::{Span, Time};

const LOAD_PROFILE: LoadProfile = LoadProfile {
    flows: 20,
    ramp: Span::from_secs(1),
    end: Span::from_secs(5),
    load: 0.5,
    burst: Some((Span::from_secs(3), Span::from_secs(4), 3.0)),
    churn: true,
    skip_long: false,
};
const WINDOW: (Time, Time) = (Time::ZERO, Time::from_micros(5_000_000));

// Guards against decisions that depend on the order of a hash map or on the clock.
#[test]
fn same_seed_gives_same_result() {
    let site = Deployment::bengal();
    let workload = Workload::draw(&site, LOAD_PROFILE, 7);
    assert_eq!(workload, Workload::draw(&site, LOAD_PROFILE, 7));
    let kinds = [
        SubjectKind::System(Options {
            measured_weights: true,
            ..Options::default()
        }),
        SubjectKind::Baseline(Balancing::TwoChoices, Some(5)),
        SubjectKind::Oracle,
    ];
    for kind in kinds {
        let run = || kind.run(&site, &workload, WINDOW, 7);
        assert_eq!(run(), run(), "{kind:?}");
    }
}

// Guards against requests that the simulation loses and that then count as refused.
#[test]
fn each_request_ends() {
    let site = Deployment::riga();
    let workload = Workload::draw(&site, LOAD_PROFILE, 3);
    for kind in [
        SubjectKind::System(Options::default()),
        SubjectKind::Baseline(Balancing::Hash, None),
        SubjectKind::Oracle,
    ] {
        let result = kind.run(&site, &workload, WINDOW, 3);
        assert!(result.endings.iter().all(Option::is_some), "{kind:?}");
        assert_eq!(result.broken, 0, "{kind:?}");
    }
}

// Guards against late answers of the oracle, which make it useless as an upper bound.
#[test]
fn oracle_answers_only_in_time() {
    let site = Deployment::riga();
    let workload = Workload::draw(&site, LOAD_PROFILE, 5);
    let result = SubjectKind::Oracle.run(&site, &workload, WINDOW, 5);
    let late = (0..workload.arrivals.len()).filter(|number| {
        let answered = matches!(result.endings[*number], Some((_, Ending::Answered)));
        answered && result.latency(&site, &workload, *number).is_none()
    });
    assert_eq!(late.count(), 0);
}

// Guards against random numbers that change for short requests when long ones are left out.
#[test]
fn leaving_out_long_work_keeps_the_rest() {
    let site = Deployment::bengal();
    let mut mixed = Workload::draw(&site, LOAD_PROFILE, 9).arrivals;
    mixed.retain(|arrival| !site.mix[arrival.kind].long);
    let short = Workload::draw(
        &site,
        LoadProfile {
            skip_long: true,
            ..LOAD_PROFILE
        },
        9,
    );
    assert_eq!(mixed, short.arrivals);
}

// Guards against busy time counted outside the window and against wrong speeds.
#[test]
fn host_counts_busy_time_in_window() {
    let at = |millis| Time::ZERO + Span::from_millis(millis);
    let mut host = Host::new(0.5, 1, (at(10), at(20)));
    assert_eq!(
        host.duration(at(0), Span::from_millis(4)),
        Span::from_millis(8)
    );
    host.begin();
    assert!(!host.has_free());
    host.end(at(5), at(13));
    assert_eq!(host.busy_time, Span::from_millis(3));
    host.cold_factor = 4.0;
    host.warm_at = at(30);
    assert_eq!(
        host.duration(at(0), Span::from_millis(4)),
        Span::from_millis(32)
    );
}

// Guards against reordered events of the same time, which would reorder the packets of a flow.
#[test]
fn event_queue_keeps_order() {
    let mut events = EventQueue::default();
    for (at, event) in [(5, 'b'), (1, 'a'), (5, 'c')] {
        events.add(Time::from_micros(at), event);
    }
    let order: Vec<char> = std::iter::from_fn(|| events.pop())
        .map(|entry| entry.1)
        .collect();
    assert_eq!(order, ['a', 'b', 'c']);
}
