use usher_types::{Span, Time};

use super::subjects::subjects;
use super::table::{Figures, Row, Table, row};
use crate::model::{Deployment, LoadProfile, RunResult, Workload};

// A deployed host has 2,000 connections; fewer keep the run short.
const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(20);
const MEASURE_START: Span = Span::from_secs(40);
const END: Span = Span::from_secs(100);
const LOAD: f64 = 0.6;

/// Compares latencies of the same short requests with and without long ones.
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
        churn: false,
        skip_long: false,
    };
    let window = (Time::ZERO + MEASURE_START, Time::ZERO + END);
    let rows: Vec<Row> = subjects(subject)
        .iter()
        .map(|(name, kind)| {
            row(name, seeds, |seed| {
                let workload = Workload::draw(site, load_profile, seed);
                let mixed = kind.run(site, &workload, window, seed);
                let short = Workload::draw(
                    site,
                    LoadProfile {
                        skip_long: true,
                        ..load_profile
                    },
                    seed,
                );
                let alone = kind.run(site, &short, window, seed);
                figures(site, (&workload, &mixed), (&short, &alone))
            })
        })
        .collect();
    Table {
        title: format!("blocking, {}, load {LOAD}", site.name),
        rows,
    }
}

fn figures(
    site: &Deployment,
    mixed: (&Workload, &RunResult),
    alone: (&Workload, &RunResult),
) -> Figures {
    let (short, missed) = latencies(site, mixed, false);
    let (reference, _) = latencies(site, alone, false);
    let (long, missed_long) = latencies(site, mixed, true);
    let millis = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    vec![
        ("p50 ms", millis(&short, 0.5)),
        ("p99 ms", millis(&short, 0.99)),
        ("p99.9 ms", millis(&short, 0.999)),
        ("p99 alone ms", millis(&reference, 0.99)),
        ("p99/alone", millis(&short, 0.99) / millis(&reference, 0.99)),
        (
            "p99.9/alone",
            millis(&short, 0.999) / millis(&reference, 0.999),
        ),
        ("missed, short %", missed),
        ("missed, long %", missed_long),
        ("long p99 ms", millis(&long, 0.99)),
        ("broken flows", mixed.1.broken as f64),
    ]
}

// Latencies of the requests answered in time, and the percentage that were not.
fn latencies(
    site: &Deployment,
    (workload, result): (&Workload, &RunResult),
    long: bool,
) -> (hdrhistogram::Histogram<u64>, f64) {
    let mut latencies = super::table::histogram();
    let mut total = 0_u32;
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        if arrival.at - Time::ZERO < MEASURE_START || site.mix[arrival.kind].long != long {
            continue;
        }
        total += 1;
        if let Some(latency) = result.latency(site, workload, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    let missed = f64::from(total) - latencies.len() as f64;
    (latencies, 100.0 * missed / f64::from(total.max(1)))
}
