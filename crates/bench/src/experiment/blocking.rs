use usher_types::{Span, Time};

use super::subjects::subjects;
use super::table::{Figures, Row, Table, row};
use crate::model::{Deployment, Plan, Shape, Tally};

// Fewer than the 2,000 connections of a host keep the run short.
const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(20);
const FROM: Span = Span::from_secs(40);
const END: Span = Span::from_secs(100);
const LOAD: f64 = 0.6;

/// Short requests with and without long ones among them; the short ones are the same.
pub(super) fn run(seeds: u64, subject: &str) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(site, seeds, subject))
        .collect()
}

fn table(site: &Deployment, seeds: u64, subject: &str) -> Table {
    let shape = Shape {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        rush: None,
        churn: false,
        skip_long: false,
    };
    let window = (Time::ZERO + FROM, Time::ZERO + END);
    let rows: Vec<Row> = subjects(subject)
        .iter()
        .map(|(name, kind)| {
            row(name, seeds, |seed| {
                let plan = Plan::draw(site, shape, seed);
                let mixed = kind.run(site, &plan, window, seed);
                let short = Plan::draw(
                    site,
                    Shape {
                        skip_long: true,
                        ..shape
                    },
                    seed,
                );
                let alone = kind.run(site, &short, window, seed);
                figures(site, (&plan, &mixed), (&short, &alone))
            })
        })
        .collect();
    Table {
        title: format!("blocking, {}, load {LOAD}", site.name),
        rows,
    }
}

fn figures(site: &Deployment, mixed: (&Plan, &Tally), alone: (&Plan, &Tally)) -> Figures {
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

fn latencies(
    site: &Deployment,
    (plan, tally): (&Plan, &Tally),
    long: bool,
) -> (hdrhistogram::Histogram<u64>, f64) {
    let mut latencies = super::table::histogram();
    let mut total = 0_u32;
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        if arrival.at - Time::ZERO < FROM || site.mix[arrival.kind].long != long {
            continue;
        }
        total += 1;
        if let Some(latency) = tally.latency(site, plan, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    let missed = f64::from(total) - latencies.len() as f64;
    (latencies, 100.0 * missed / f64::from(total.max(1)))
}
