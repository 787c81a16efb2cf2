use usher_types::{Span, Time};

use super::subjects::subjects;
use super::table::{Figures, Row, Table, row};
use crate::model::{Deployment, Ending, LoadProfile, RunResult, Workload};

const FLOWS: usize = 2_000;
const RAMP: Span = Span::from_secs(60);
const END: Span = Span::from_secs(120);
const LOAD: f64 = 0.6;

/// Measures the load of each host under a steady load.
///
/// Half of the flows are long-lived, the others last 20 s on average.
pub(super) fn run(seeds: u64, subject: &str) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(site, seeds, subject))
        .collect()
}

fn table(site: &Deployment, seeds: u64, subject: &str) -> Table {
    let load_profile = LoadProfile {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        burst: None,
        churn: true,
        skip_long: false,
    };
    let window = (Time::ZERO + RAMP, Time::ZERO + END);
    let rows: Vec<Row> = subjects(subject)
        .iter()
        .map(|(name, kind)| {
            row(name, seeds, |seed| {
                let workload = Workload::draw(site, load_profile, seed);
                figures(site, &workload, &kind.run(site, &workload, window, seed))
            })
        })
        .collect();
    Table {
        title: format!("imbalance, {}, load {LOAD}", site.name),
        rows,
    }
}

fn figures(site: &Deployment, workload: &Workload, result: &RunResult) -> Figures {
    let loads = result.loads();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let variance = loads.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / loads.len() as f64;
    let missed = (0..workload.arrivals.len())
        .filter(|number| result.latency(site, workload, *number).is_none())
        .count();
    let unknown = result
        .endings
        .iter()
        .filter(|ending| matches!(ending, Some((_, Ending::Failed))));
    let unknown = unknown.count();
    let control = result.control.iter().copied().max().unwrap_or_default();
    vec![
        (
            "max load/strength",
            loads.iter().copied().fold(0.0, f64::max),
        ),
        ("coefficient of variation", variance.sqrt() / mean),
        (
            "missed, % of requests",
            100.0 * missed as f64 / workload.arrivals.len() as f64,
        ),
        (
            "unknown, % of requests",
            100.0 * unknown as f64 / workload.arrivals.len() as f64,
        ),
        ("broken flows", result.broken as f64),
        (
            "control B/s per agent",
            control as f64 / result.duration.as_secs_f64().max(1.0),
        ),
    ]
}
