use std::fmt::Write;
use std::io::{self, BufRead};

use argh::FromArgs;
use indexmap::IndexMap;
use serde_json::json;

use crate::{Line, Point, Sweep};

/// Measures points of sweeps and fits lines to them.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Plan(Plan),
    Measure(Measure),
    Fit(Fit),
}

/// list all points, one a line
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {}

/// measure one point and print it as JSON
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// name of the sweep
    #[argh(positional)]
    sweep: Sweep,
    /// size of the point
    #[argh(positional)]
    size: usize,
}

/// fit a line to each figure of the points on standard input
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fit")]
struct Fit {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Args {
    /// Runs the command and returns its output.
    ///
    /// # Errors
    /// Fails when standard input or the process's memory figures cannot be read.
    pub fn run(self) -> io::Result<String> {
        match self.command {
            Command::Plan(_) => Ok(plan()),
            Command::Measure(measure) => {
                let point = measure.sweep.measure(measure.size)?;
                Ok(format!("{}\n", json!(point)))
            }
            Command::Fit(fit) => {
                let points = read_points(io::stdin().lock())?;
                Ok(if fit.json {
                    format!("{:#}\n", lines_json(&points))
                } else {
                    lines_text(&points)
                })
            }
        }
    }
}

fn plan() -> String {
    let mut text = String::new();
    for sweep in Sweep::ALL {
        for size in sweep.sizes() {
            let _ = writeln!(text, "{sweep} {size}");
        }
    }
    text
}

fn read_points(input: impl BufRead) -> io::Result<Vec<Point>> {
    input
        .lines()
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}

// Fits a line to each figure of each sweep, by the names of both.
fn fit_lines(points: &[Point]) -> IndexMap<(&str, &str), Line> {
    let mut series: IndexMap<(&str, &str), Vec<(f64, f64)>> = IndexMap::new();
    for point in points {
        for (name, value) in &point.figures {
            let key = (point.sweep.as_str(), name.as_str());
            let samples = series.entry(key).or_default();
            samples.push((point.size as f64, *value));
        }
    }
    let fit = |(key, values): (_, Vec<_>)| Some((key, Line::fit(&values)?));
    series.into_iter().filter_map(fit).collect()
}

fn lines_json(points: &[Point]) -> serde_json::Value {
    let fitted: Vec<_> = fit_lines(points)
        .into_iter()
        .map(|((sweep, figure), line)| json!({ "sweep": sweep, "figure": figure, "line": line }))
        .collect();
    json!({ "points": points, "lines": fitted })
}

fn lines_text(points: &[Point]) -> String {
    let mut text = format!(
        "{:<15} {:<24} {:>14} {:>14} {:>9}  points\n",
        "SWEEP", "FIGURE", "INTERCEPT", "SLOPE", "RESIDUAL"
    );
    for ((sweep, figure), line) in fit_lines(points) {
        let values: Vec<String> = points
            .iter()
            .filter(|point| point.sweep == sweep)
            .filter_map(|point| Some(format!("{}:{:.5}", point.size, point.figures.get(figure)?)))
            .collect();
        let _ = writeln!(
            text,
            "{sweep:<15} {figure:<24} {:>14.4} {:>14.6} {:>8.1}%  {}",
            line.intercept,
            line.slope,
            line.residual * 100.0,
            values.join(" ")
        );
    }
    text
}
