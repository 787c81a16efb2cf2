use usher_types::{Span, Time};

use super::table::{Row, Table, row};
use crate::model::{Deployment, Ending, Plan, Shape, Tally};
use crate::subject::{Kind, Options};

// Handover is per flow; fewer than 2,000 flows a host keep the run short.
const FLOWS: usize = 100;
const RAMP: Span = Span::from_secs(20);
const GAP: Span = Span::from_secs(25);
const END: Span = Span::from_secs(75);
const LOAD: f64 = 0.3;

/// Planned restarts of two hosts, one after the other, while flows come and go.
pub(super) fn run(seeds: u64) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(site, seeds))
        .collect()
}

fn table(site: &Deployment, seeds: u64) -> Table {
    let shape = Shape {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        rush: None,
        churn: true,
        skip_long: false,
    };
    let kinds = [("no restart", None), ("two hosts restart", Some(GAP))];
    let rows: Vec<Row> = kinds
        .iter()
        .map(|(name, restarts)| {
            let kind = Kind::System(Options {
                restarts: *restarts,
                ..Options::default()
            });
            row(name, seeds, |seed| {
                let plan = Plan::draw(site, shape, seed);
                let window = (Time::ZERO + RAMP, Time::ZERO + END);
                figures(site, &plan, &kind.run(site, &plan, window, seed))
            })
        })
        .collect();
    Table {
        title: format!("churn, {}, load {LOAD}", site.name),
        rows,
    }
}

fn figures(site: &Deployment, plan: &Plan, tally: &Tally) -> Vec<(&'static str, f64)> {
    let count = |part: fn(&Option<(Time, Ending)>) -> bool| {
        tally.endings.iter().filter(|ending| part(ending)).count() as f64
    };
    let mut latencies = super::table::histogram();
    for number in 0..plan.arrivals.len() {
        if let Some(latency) = tally.latency(site, plan, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    vec![
        ("requests", plan.arrivals.len() as f64),
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
        ("broken flows", tally.broken as f64),
    ]
}
