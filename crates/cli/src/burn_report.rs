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
const NO_VALUE: &str = "-";
// Length in seconds and suffix, longest first.
const UNITS: [(u64, &str); 3] = [(86_400, "d"), (3_600, "h"), (60, "m")];

/// The field of an agent's status that the report reads.
#[derive(Debug, Deserialize)]
struct BurnStatus {
    burn: Vec<Window>,
}

/// Outcomes of one service, summed over its hosts.
#[derive(Debug)]
pub(crate) struct BurnReport {
    service: ServiceName,
    objective: Share,
    windows: IndexMap<Span, Window>,
    /// Hosts without a usable answer.
    silent: Vec<HostId>,
}

impl BurnReport {
    /// Sums the windows of a service's hosts and collects hosts without an answer.
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
                report.add_host(host, &process.json);
            }
        }
        report
    }

    fn add_host(&mut self, host: &HostId, status: &Json) {
        let Ok(burn_status) = serde_json::from_value::<BurnStatus>(status.clone()) else {
            self.silent.push(host.clone());
            return;
        };
        for window in burn_status.burn {
            let empty = Window {
                tally: Tally::default(),
                ..window
            };
            let sum = self.windows.entry(window.length).or_insert(empty);
            sum.covered = sum.covered.max(window.covered);
            sum.tally += window.tally;
        }
    }

    // The error budget applies to the longest window.
    fn budget_left(&self) -> Option<f64> {
        let longest = self.windows.values().max_by_key(|window| window.length)?;
        longest.tally.budget_left(self.objective)
    }

    pub(crate) fn text(&self) -> String {
        let objective = format_percent(Some(self.objective.get()));
        let remaining = format_percent(self.budget_left());
        let rows: Vec<Vec<String>> = self.windows.values().map(|w| self.row(w)).collect();
        let rows = table(&HEADING, &rows);
        let service = &self.service;
        let mut lines = vec![format!(
            "{service}: objective {objective}, budget left {remaining}"
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
        let mut row = vec![format_period(window.length), format_period(window.covered)];
        row.extend(counts.iter().map(ToString::to_string));
        row.push(format_percent(tally.goodput()));
        row.push(burn.map_or_else(|| NO_VALUE.to_owned(), |rate| format!("{rate:.2}")));
        row
    }

    pub(crate) fn json(&self) -> Json {
        let windows: Vec<Json> = self.windows.values().map(|w| self.window_json(w)).collect();
        json!({
            "service": self.service,
            "objective": self.objective,
            "budget_left": self.budget_left(),
            "windows": windows,
            "silent": self.silent,
        })
    }

    fn window_json(&self, window: &Window) -> Json {
        let tally = &window.tally;
        json!({
            "window": window.length,
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

fn format_percent(share: Option<f64>) -> String {
    share.map_or_else(
        || NO_VALUE.to_owned(),
        |share| format!("{:.2}%", share * 100.0),
    )
}

// Rounds down to whole units: a report over 30 days needs no seconds.
fn format_period(span: Span) -> String {
    let seconds = span.as_micros() / 1_000_000;
    let unit = UNITS.iter().find(|(length, _)| seconds >= *length);
    match unit {
        Some((length, name)) => format!("{}{name}", seconds / length),
        None => format!("{seconds}s"),
    }
}
