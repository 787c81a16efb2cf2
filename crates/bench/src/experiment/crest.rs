use usher_types::{Span, Time};

use super::subjects::subjects;
use super::table::{Figures, Row, Table, row};
use crate::model::{Arrival, Deployment, Ending, Plan, Shape, Tally};
use crate::subject::Kind;

// Fewer than the 2,000 connections of a host keep the run short.
const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(20);
const START: Span = Span::from_secs(40);
const STOP: Span = Span::from_secs(44);
const END: Span = Span::from_secs(52);
const LOAD: f64 = 0.6;
const RUSH: f64 = 4.0;

/// A rush of four times the capacity for four seconds; callers do not repeat requests.
pub(super) fn run(seeds: u64, subject: &str) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(&site.clone().without_long(), seeds, subject))
        .collect()
}

fn table(site: &Deployment, seeds: u64, subject: &str) -> Table {
    let shape = Shape {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        rush: Some((START, STOP, RUSH)),
        churn: false,
        skip_long: false,
    };
    let window = (Time::ZERO + START, Time::ZERO + STOP);
    let rows: Vec<Row> = subjects(subject)
        .iter()
        .map(|(name, kind)| {
            row(name, seeds, |seed| {
                let plan = Plan::draw(site, shape, seed);
                let tally = kind.run(site, &plan, window, seed);
                let oracle = Kind::Oracle.run(site, &plan, window, seed);
                figures(site, &plan, &tally, goodput(site, &plan, &oracle))
            })
        })
        .collect();
    Table {
        title: format!("crest, {}, {RUSH} times capacity for 4 s", site.name),
        rows,
    }
}

/// Work answered in time during the rush as a share of the capacity.
fn goodput(site: &Deployment, plan: &Plan, tally: &Tally) -> f64 {
    let (start, stop) = (Time::ZERO + START, Time::ZERO + STOP);
    let useful = |number: &usize| {
        let at = tally.endings[*number].map(|(at, _)| at);
        at.is_some_and(|at| at >= start && at < stop)
            && tally.latency(site, plan, *number).is_some()
    };
    let work: f64 = (0..plan.arrivals.len())
        .filter(useful)
        .map(|number| plan.arrivals[number].work.as_secs_f64())
        .sum();
    work / (site.capacity() * (stop - start).as_secs_f64())
}

fn figures(site: &Deployment, plan: &Plan, tally: &Tally, oracle: f64) -> Figures {
    let goodput = goodput(site, plan, tally);
    let mut figures = vec![
        ("goodput/capacity", goodput),
        ("goodput/oracle", goodput / oracle),
    ];
    let names = [
        ("read p50 ms", "read p99 ms", "read answered"),
        ("once p50 ms", "once p99 ms", "once answered"),
    ];
    for (kind, (p50, p99, answered)) in names.into_iter().enumerate() {
        let (latencies, total) = rushed(site, plan, tally, kind);
        figures.push((p50, latencies.value_at_quantile(0.5) as f64 / 1_000.0));
        figures.push((p99, latencies.value_at_quantile(0.99) as f64 / 1_000.0));
        figures.push((answered, latencies.len() as f64 / total as f64));
    }
    let wrongly = |ending: &&Option<(Time, Ending)>| {
        matches!(ending, Some((_, Ending::NotRun { idle: true })))
    };
    figures.push((
        "refused while a slot was idle",
        tally.endings.iter().filter(wrongly).count() as f64,
    ));
    figures.push(("recovery ms", recovery(site, plan, tally)));
    figures.push(("late work/capacity", late(site, plan, tally)));
    figures.push(("broken flows", tally.broken as f64));
    figures
}

/// Latencies of the requests of one kind that arrived in the rush and were answered in time.
fn rushed(
    site: &Deployment,
    plan: &Plan,
    tally: &Tally,
    kind: usize,
) -> (hdrhistogram::Histogram<u64>, usize) {
    let mut latencies = super::table::histogram();
    let mut total = 0;
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        let since = arrival.at - Time::ZERO;
        if arrival.kind != kind || since < START || since >= STOP {
            continue;
        }
        total += 1;
        if let Some(latency) = tally.latency(site, plan, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    (latencies, total)
}

/// Time from the end of the rush to the last request that arrived after it and was not served.
fn recovery(site: &Deployment, plan: &Plan, tally: &Tally) -> f64 {
    let stop = Time::ZERO + STOP;
    let missed = plan
        .arrivals
        .iter()
        .enumerate()
        .filter(|(number, arrival)| {
            arrival.at >= stop && tally.latency(site, plan, *number).is_none()
        });
    missed
        .map(|(_, arrival)| (arrival.at - stop).as_millis() as f64)
        .fold(0.0, f64::max)
}

/// Work answered too late that arrived in the rush, as a share of the capacity.
fn late(site: &Deployment, plan: &Plan, tally: &Tally) -> f64 {
    let is_late = |(number, arrival): &(usize, &Arrival)| {
        let since = arrival.at - Time::ZERO;
        let answered = matches!(tally.endings[*number], Some((_, Ending::Answered)));
        since >= START && since < STOP && answered && tally.latency(site, plan, *number).is_none()
    };
    let late = plan.arrivals.iter().enumerate().filter(is_late);
    let work: f64 = late.map(|(_, arrival)| arrival.work.as_secs_f64()).sum();
    work / (site.capacity() * (STOP - START).as_secs_f64())
}
