use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{Share, Span, Time};

use super::table::{Figures, Row, Table, row};
use crate::model::{Deployment, Ending, Plan, Shape, Tally};
use crate::subject::{Kind, Options};

const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(10);
const END: Span = Span::from_secs(70);
const LOAD: f64 = 0.4;
const ATTEMPTS: u16 = 3;
const LAYERS: u32 = 3;
const NESTED_REQUESTS: u32 = 100_000;

/// Calls of backend servers per request while one or all of them lose each run.
pub(super) fn run(seeds: u64) -> Vec<Table> {
    let mut tables = Vec::new();
    for site in Deployment::all() {
        let site = site.without_long();
        for down in [1, site.speeds.len()] {
            tables.push(table(&site, down, seeds));
        }
    }
    tables
}

fn table(site: &Deployment, down: usize, seeds: u64) -> Table {
    let unlimited = Share::new(1.0).unwrap_or_default();
    let limited = Options::default().retries;
    // Transmissions by the caller, shared attempt budget, share of successes for retries.
    let kinds = [
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
    let mut rows: Vec<Row> = kinds
        .into_iter()
        .map(|(name, caller, retries)| {
            let options = Options {
                down,
                caller,
                retries,
                ..Options::default()
            };
            row(name, seeds, |seed| system(site, &options, seed))
        })
        .collect();
    let share = down as f64 / site.speeds.len() as f64;
    rows.push(row("nested retries, 3 layers of 3", seeds, |seed| {
        nested(share, seed)
    }));
    let title = format!(
        "retries, {}, {down} of {} down",
        site.name,
        site.speeds.len()
    );
    Table { title, rows }
}

fn system(site: &Deployment, options: &Options, seed: u64) -> Figures {
    let shape = Shape {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        rush: None,
        churn: false,
        skip_long: false,
    };
    let plan = Plan::draw(site, shape, seed);
    let window = (Time::ZERO + RAMP, Time::ZERO + END);
    let tally: Tally = Kind::System(options.clone()).run(site, &plan, window, seed);
    let total = plan.arrivals.len() as f64;
    let answered = tally
        .endings
        .iter()
        .filter(|ending| matches!(ending, Some((_, Ending::Answered))))
        .count();
    vec![
        ("calls per request", tally.runs as f64 / total),
        ("answered", answered as f64 / total),
        ("broken flows", tally.broken as f64),
    ]
}

/// Each layer repeats a failed call of the layer below; a call goes to a random host.
fn nested(down: f64, seed: u64) -> Figures {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut calls = 0;
    let mut answered = 0;
    for _ in 0..NESTED_REQUESTS {
        answered += u32::from(layer(&mut rng, LAYERS, down, &mut calls));
    }
    let total = f64::from(NESTED_REQUESTS);
    vec![
        ("calls per request", calls as f64 / total),
        ("answered", f64::from(answered) / total),
        ("broken flows", 0.0),
    ]
}

fn layer(rng: &mut Pcg64, layers: u32, down: f64, calls: &mut u64) -> bool {
    if layers == 0 {
        *calls += 1;
        return !rng.random_bool(down);
    }
    (0..ATTEMPTS).any(|_| layer(rng, layers - 1, down, calls))
}
