use std::fmt;
use std::thread;

use indexmap::IndexMap;
use serde::Serialize;

// Longer than any deadline.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Figures of one subject.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the subject.
    pub name: String,
    /// Values by column, one for each seed.
    pub figures: IndexMap<&'static str, Vec<f64>>,
}

/// Results of an experiment on one site.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// Experiment, site and parameters.
    pub title: String,
    /// One row for each subject.
    pub rows: Vec<Row>,
}

/// Columns and their values in a run with one seed.
pub(super) type Figures = Vec<(&'static str, f64)>;

/// Runs all seeds of one row, each on a thread of its own.
pub(super) fn row(name: &str, seeds: u64, run: impl Fn(u64) -> Figures + Sync) -> Row {
    let results: Vec<Figures> = thread::scope(|scope| {
        let start = |seed| {
            scope.spawn({
                let run = &run;
                move || run(seed)
            })
        };
        let threads: Vec<_> = (1..=seeds).map(start).collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    let mut figures: IndexMap<&'static str, Vec<f64>> = IndexMap::new();
    for (column, value) in results.into_iter().flatten() {
        figures.entry(column).or_default().push(value);
    }
    Row {
        name: name.to_owned(),
        figures,
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {}\n", self.title)?;
        let Some(first) = self.rows.first() else {
            return Ok(());
        };
        let columns: Vec<&str> = first.figures.keys().copied().collect();
        writeln!(f, "| | {} |", columns.join(" | "))?;
        writeln!(f, "|---|{}", "---|".repeat(columns.len()))?;
        for row in &self.rows {
            write!(f, "| {} |", row.name)?;
            for values in row.figures.values() {
                write!(f, " {} |", format_range(values))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

// The median, followed by the smallest and the largest value if they differ.
fn format_range(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (Some(low), Some(high)) = (sorted.first(), sorted.last()) else {
        return String::new();
    };
    let median = format_number(sorted[sorted.len() / 2]);
    let (low, high) = (format_number(*low), format_number(*high));
    if low == high {
        median
    } else {
        format!("{median} ({low}–{high})")
    }
}

fn format_number(value: f64) -> String {
    // The sum of no values is -0.0; adding 0.0 removes the sign.
    let value = value + 0.0;
    if value.fract() == 0.0 || value.abs() >= 100.0 {
        format!("{value:.0}")
    } else if value.abs() >= 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}

/// Creates a histogram of latencies in microseconds with three significant digits.
pub(super) fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
