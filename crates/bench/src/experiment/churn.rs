use usher_types::{Span, Time};

use super::table::{Row, Table, row};
use crate::model::{Deployment, Ending, LoadProfile, RunResult, Workload};
use crate::subject::{Options, SubjectKind};

// Each flow is handed over by itself; fewer than 2,000 flows per host keep the run short.
const FLOWS: usize = 100;
const RAMP: Span = Span::from_secs(20);
const RESTART_INTERVAL: Span = Span::from_secs(25);
const END: Span = Span::from_secs(75);
const LOAD: f64 = 0.3;

/// Restarts two hosts, one after the other, while flows open and close.
pub(super) fn run(seeds: u64) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(site, seeds))
        .collect()
}

fn table(site: &Deployment, seeds: u64) -> Table {
    let load_profile = LoadProfile {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        burst: None,
        churn: true,
        skip_long: false,
    };
    let kinds = [
        ("no restart", None),
        ("two hosts restart", Some(RESTART_INTERVAL)),
    ];
    let rows: Vec<Row> = kinds
        .iter()
        .map(|(name, restart_interval)| {
            let kind = SubjectKind::System(Options {
                restart_interval: *restart_interval,
                ..Options::default()
            });
            row(name, seeds, |seed| {
                let workload = Workload::draw(site, load_profile, seed);
                let window = (Time::ZERO + RAMP, Time::ZERO + END);
                figures(site, &workload, &kind.run(site, &workload, window, seed))
            })
        })
        .collect();
    Table {
        title: format!("churn, {}, load {LOAD}", site.name),
        rows,
    }
}

fn figures(site: &Deployment, workload: &Workload, result: &RunResult) -> Vec<(&'static str, f64)> {
    let count = |predicate: fn(&Option<(Time, Ending)>) -> bool| {
        result
            .endings
            .iter()
            .filter(|ending| predicate(ending))
            .count() as f64
    };
    let mut latencies = super::table::histogram();
    for number in 0..workload.arrivals.len() {
        if let Some(latency) = result.latency(site, workload, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    vec![
        ("requests", workload.arrivals.len() as f64),
        (
            "not run",
            count(|e| matches!(e, Some((_, Ending::NotRun { .. })))),
        ),
        ("unknown", count(|e| matches!(e, Some((_, Ending::Failed))))),
        ("unanswered", count(Option::is_none)),
        (
            "p99 ms, all requests",
            latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        ),
        ("broken flows", result.broken as f64),
    ]
}
