use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value as Json, json};
use usher_burn::{Tally, Window};
use usher_types::{HostId, Peer, ServiceName, Share, Span};

use crate::output::table;
use crate::processes::Process;

const HEADING: [&str; 10] = [
    "WINDOW", "COVERED", "REQUESTS", "IN-TIME", "LATE", "REFUSED", "UNKNOWN", "FAILED", "GOODPUT",
    "BURN",
];
const NONE: &str = "-";
const UNITS: [(u64, &str); 3] = [(86_400, "d"), (3_600, "h"), (60, "m")];

/// The part of an agent's status that the report reads.
#[derive(Debug, Deserialize)]
struct Counted {
    burn: Vec<Window>,
}

/// Outcomes of one service, summed over its hosts.
#[derive(Debug)]
pub(crate) struct BurnReport {
    service: ServiceName,
    objective: Share,
    windows: IndexMap<Span, Window>,
    silent: Vec<HostId>,
}

impl BurnReport {
    /// Sums up the hosts of a service; a host without an answer is named.
    pub(crate) fn new(service: ServiceName, objective: Share, processes: &[Process]) -> Self {
        let mut report = Self {
            service,
            objective,
            windows: IndexMap::new(),
            silent: Vec::new(),
        };
        for process in processes {
            if let (Peer::Host(host), Some(service)) = (&process.peer, &process.service)
                && *service == report.service
            {
                report.add(host, &process.json);
            }
        }
        report
    }

    fn add(&mut self, host: &HostId, status: &Json) {
        let Ok(counted) = serde_json::from_value::<Counted>(status.clone()) else {
            self.silent.push(host.clone());
            return;
        };
        for window in counted.burn {
            let empty = Window {
                tally: Tally::default(),
                ..window
            };
            let sum = self.windows.entry(window.window).or_insert(empty);
            sum.covered = sum.covered.max(window.covered);
            sum.tally += window.tally;
        }
    }

    // The longest window is the period of the budget.
    fn budget_left(&self) -> Option<f64> {
        let longest = self.windows.values().max_by_key(|window| window.window)?;
        longest.tally.budget_left(self.objective)
    }

    pub(crate) fn text(&self) -> String {
        let objective = percent(Some(self.objective.get()));
        let left = percent(self.budget_left());
        let rows: Vec<Vec<String>> = self.windows.values().map(|w| self.row(w)).collect();
        let rows = table(&HEADING, &rows);
        let service = &self.service;
        let mut lines = vec![format!(
            "{service}: objective {objective}, budget left {left}"
        )];
        lines.push(rows.trim_end().to_owned());
        let silent = self.silent.iter();
        lines.extend(
            silent.map(|host| format!("host {host} does not answer; its counts are missing")),
        );
        lines.push(String::new());
        lines.join("\n")
    }

    fn row(&self, window: &Window) -> Vec<String> {
        let tally = &window.tally;
        let counts = [
            tally.requests(),
            tally.in_time,
            tally.late,
            tally.refused,
            tally.unknown,
            tally.failed,
        ];
        let burn = tally.burn_rate(self.objective);
        let mut row = vec![period(window.window), period(window.covered)];
        row.extend(counts.iter().map(ToString::to_string));
        row.push(percent(tally.goodput()));
        row.push(burn.map_or_else(|| NONE.to_owned(), |rate| format!("{rate:.2}")));
        row
    }

    pub(crate) fn json(&self) -> Json {
        let windows: Vec<Json> = self.windows.values().map(|w| self.window(w)).collect();
        json!({
            "service": self.service,
            "objective": self.objective,
            "budget_left": self.budget_left(),
            "windows": windows,
            "silent": self.silent,
        })
    }

    fn window(&self, window: &Window) -> Json {
        let tally = &window.tally;
        json!({
            "window": window.window,
            "covered": window.covered,
            "requests": tally.requests(),
            "in_time": tally.in_time,
            "late": tally.late,
            "refused": tally.refused,
            "unknown": tally.unknown,
            "failed": tally.failed,
            "goodput": tally.goodput(),
            "burn_rate": tally.burn_rate(self.objective),
        })
    }
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| NONE.to_owned(), |share| format!("{:.2}%", share * 100.0))
}

// Whole units: a report over 30 days needs no seconds.
fn period(span: Span) -> String {
    let seconds = span.as_micros() / 1_000_000;
    let unit = UNITS.iter().find(|(length, _)| seconds >= *length);
    match unit {
        Some((length, name)) => format!("{}{name}", seconds / length),
        None => format!("{seconds}s"),
    }
}
