use usher_types::{Span, Time};

use super::subjects::subjects;
use super::table::{Figures, Row, Table, row};
use crate::model::{Arrival, Deployment, Ending, LoadProfile, RunResult, Workload};
use crate::subject::SubjectKind;

// A deployed host has 2,000 connections; fewer keep the run short.
const FLOWS: usize = 500;
const RAMP: Span = Span::from_secs(20);
const BURST_START: Span = Span::from_secs(40);
const BURST_END: Span = Span::from_secs(44);
const END: Span = Span::from_secs(52);
const LOAD: f64 = 0.6;
const BURST_LOAD: f64 = 4.0;

/// Sends a burst of four times the capacity for four seconds.
///
/// Callers do not repeat requests.
pub(super) fn run(seeds: u64, subject: &str) -> Vec<Table> {
    Deployment::all()
        .iter()
        .map(|site| table(&site.clone().without_long(), seeds, subject))
        .collect()
}

fn table(site: &Deployment, seeds: u64, subject: &str) -> Table {
    let load_profile = LoadProfile {
        flows: FLOWS,
        ramp: RAMP,
        end: END,
        load: LOAD,
        burst: Some((BURST_START, BURST_END, BURST_LOAD)),
        churn: false,
        skip_long: false,
    };
    let window = (Time::ZERO + BURST_START, Time::ZERO + BURST_END);
    let rows: Vec<Row> = subjects(subject)
        .iter()
        .map(|(name, kind)| {
            row(name, seeds, |seed| {
                let workload = Workload::draw(site, load_profile, seed);
                let result = kind.run(site, &workload, window, seed);
                let oracle = SubjectKind::Oracle.run(site, &workload, window, seed);
                figures(site, &workload, &result, goodput(site, &workload, &oracle))
            })
        })
        .collect();
    Table {
        title: format!("crest, {}, {BURST_LOAD} times capacity for 4 s", site.name),
        rows,
    }
}

/// Work answered in time during the burst, as a share of the capacity.
fn goodput(site: &Deployment, workload: &Workload, result: &RunResult) -> f64 {
    let (start, stop) = (Time::ZERO + BURST_START, Time::ZERO + BURST_END);
    let answered_during = |number: &usize| {
        let at = result.endings[*number].map(|(at, _)| at);
        at.is_some_and(|at| at >= start && at < stop)
            && result.latency(site, workload, *number).is_some()
    };
    let work: f64 = (0..workload.arrivals.len())
        .filter(answered_during)
        .map(|number| workload.arrivals[number].work.as_secs_f64())
        .sum();
    work / (site.capacity() * (stop - start).as_secs_f64())
}

fn figures(site: &Deployment, workload: &Workload, result: &RunResult, oracle: f64) -> Figures {
    let goodput = goodput(site, workload, result);
    let mut figures = vec![
        ("goodput/capacity", goodput),
        ("goodput/oracle", goodput / oracle),
    ];
    let names = [
        ("read p50 ms", "read p99 ms", "read answered"),
        ("once p50 ms", "once p99 ms", "once answered"),
    ];
    for (kind, (p50, p99, answered)) in names.into_iter().enumerate() {
        let (latencies, total) = burst_latencies(site, workload, result, kind);
        figures.push((p50, latencies.value_at_quantile(0.5) as f64 / 1_000.0));
        figures.push((p99, latencies.value_at_quantile(0.99) as f64 / 1_000.0));
        figures.push((answered, latencies.len() as f64 / total as f64));
    }
    let refused_idle = |ending: &&Option<(Time, Ending)>| {
        matches!(ending, Some((_, Ending::NotRun { idle: true })))
    };
    figures.push((
        "refused while a slot was idle",
        result.endings.iter().filter(refused_idle).count() as f64,
    ));
    figures.push(("recovery ms", recovery(site, workload, result)));
    figures.push(("late work/capacity", late(site, workload, result)));
    figures.push(("broken flows", result.broken as f64));
    figures
}

/// Latencies of one kind of requests in the burst, and their number.
///
/// Only requests that were answered in time have a latency.
fn burst_latencies(
    site: &Deployment,
    workload: &Workload,
    result: &RunResult,
    kind: usize,
) -> (hdrhistogram::Histogram<u64>, usize) {
    let mut latencies = super::table::histogram();
    let mut total = 0;
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        let since = arrival.at - Time::ZERO;
        if arrival.kind != kind || since < BURST_START || since >= BURST_END {
            continue;
        }
        total += 1;
        if let Some(latency) = result.latency(site, workload, number) {
            latencies.saturating_record(latency.as_micros());
        }
    }
    (latencies, total)
}

/// Milliseconds from the end of the burst to the last missed request.
///
/// It is the arrival of the last request after the burst that was not answered in time.
fn recovery(site: &Deployment, workload: &Workload, result: &RunResult) -> f64 {
    let stop = Time::ZERO + BURST_END;
    let missed = workload
        .arrivals
        .iter()
        .enumerate()
        .filter(|(number, arrival)| {
            arrival.at >= stop && result.latency(site, workload, *number).is_none()
        });
    missed
        .map(|(_, arrival)| (arrival.at - stop).as_millis() as f64)
        .fold(0.0, f64::max)
}

/// Work from the burst that was answered late, as a share of the capacity.
fn late(site: &Deployment, workload: &Workload, result: &RunResult) -> f64 {
    let is_late = |(number, arrival): &(usize, &Arrival)| {
        let since = arrival.at - Time::ZERO;
        let answered = matches!(result.endings[*number], Some((_, Ending::Answered)));
        since >= BURST_START
            && since < BURST_END
            && answered
            && result.latency(site, workload, *number).is_none()
    };
    let late = workload.arrivals.iter().enumerate().filter(is_late);
    let work: f64 = late.map(|(_, arrival)| arrival.work.as_secs_f64()).sum();
    work / (site.capacity() * (BURST_END - BURST_START).as_secs_f64())
}
