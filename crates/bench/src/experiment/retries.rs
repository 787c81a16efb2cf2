use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{Share, Span, Time};

use super::table::{Figures, Row, Table, row};
use crate::model::{Deployment, Ending, LoadProfile, RunResult, Workload};
use crate::subject::{Options, SubjectKind};

const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(10);
const END: Span = Span::from_secs(70);
const LOAD: f64 = 0.4;
const ATTEMPTS: u16 = 3;
const LAYERS: u32 = 3;
const NESTED_REQUESTS: u32 = 100_000;

/// Counts calls per request while one or all backend servers fail each call.
pub(super) fn run(seeds: u64) -> Vec<Table> {
    let mut tables = Vec::new();
    for site in Deployment::all() {
        let site = site.without_long();
        for failed_hosts in [1, site.speeds.len()] {
            tables.push(table(&site, failed_hosts, seeds));
        }
    }
    tables
}

fn table(site: &Deployment, failed_hosts: usize, seeds: u64) -> Table {
    let unlimited = Share::new(1.0).unwrap_or_default();
    let limited = Options::default().retries;
    // Name, most transmissions by the caller and whether they share one attempt budget, and the
    // share of successes that agents spend on retries.
    let variants = [
        ("system", (1, true), limited),
        ("system, callers repeat", (ATTEMPTS, true), limited),
        (
            "system, callers repeat, no attempt budget",
            (ATTEMPTS, false),
            limited,
        ),
        (
            "system, callers repeat, no retry budget",
            (ATTEMPTS, true),
            unlimited,
        ),
        (
            "system, callers repeat, no budget",
            (ATTEMPTS, false),
            unlimited,
        ),
    ];
    let mut rows: Vec<Row> = variants
        .into_iter()
        .map(|(name, caller_policy, retries)| {
            let options = Options {
                failed_hosts,
                caller_policy,
                retries,
                ..Options::default()
            };
            row(name, seeds, |seed| system(site, &options, seed))
        })
        .collect();
    let share = failed_hosts as f64 / site.speeds.len() as f64;
    rows.push(row("nested retries, 3 layers of 3", seeds, |seed| {
        nested_retries(share, seed)
    }));
    let title = format!(
        "retries, {}, {failed_hosts} of {} down",
        site.name,
        site.speeds.len()
    );
    Table { title, rows }
}

fn system(site: &Deployment, options: &Options, seed: u64) -> Figures {
    let load_profile = LoadProfile {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        burst: None,
        churn: false,
        skip_long: false,
    };
    let workload = Workload::draw(site, load_profile, seed);
    let window = (Time::ZERO + RAMP, Time::ZERO + END);
    let result: RunResult = SubjectKind::System(options.clone()).run(site, &workload, window, seed);
    let total = workload.arrivals.len() as f64;
    let answered = result
        .endings
        .iter()
        .filter(|ending| matches!(ending, Some((_, Ending::Answered))))
        .count();
    vec![
        ("calls per request", result.runs as f64 / total),
        ("answered", answered as f64 / total),
        ("broken flows", result.broken as f64),
    ]
}

/// Retries without a shared budget: each layer repeats failed calls of the layer below.
///
/// A call goes to a random host, which fails with `failure_rate`.
fn nested_retries(failure_rate: f64, seed: u64) -> Figures {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut calls = 0;
    let mut answered = 0;
    for _ in 0..NESTED_REQUESTS {
        answered += u32::from(call_layer(&mut rng, LAYERS, failure_rate, &mut calls));
    }
    let total = f64::from(NESTED_REQUESTS);
    vec![
        ("calls per request", calls as f64 / total),
        ("answered", f64::from(answered) / total),
        ("broken flows", 0.0),
    ]
}

// Calls the layer below up to three times; layer 0 is the backend server.
fn call_layer(rng: &mut Pcg64, layers: u32, failure_rate: f64, calls: &mut u64) -> bool {
    if layers == 0 {
        *calls += 1;
        return !rng.random_bool(failure_rate);
    }
    (0..ATTEMPTS).any(|_| call_layer(rng, layers - 1, failure_rate, calls))
}
