use std::collections::BTreeMap;
use std::fmt;

/// Figures that every run measures; `docs` of the language list them in this order.
const FIGURES: &[&str] = &[
    "accepted",
    "answered",
    "broken_flows",
    "calls_per_request",
    "conflicts",
    "damaged",
    "failed",
    "in_force",
    "misrouted",
    "new_runs_after_drain",
    "not_run",
    "not_run_after_run",
    "not_run_but_ran",
    "opened",
    "removed",
    "requests",
    "reverted",
    "running_agents",
    "runs",
    "runs_per_key",
    "unanswered",
    "unknown",
];

/// Figures that are followed by the name of a service.
const OF_SERVICE: &[&str] = &["members"];

/// What a run measured and which expectations it missed.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// One line for each expectation that was missed.
    pub failures: Vec<String>,
    /// Checksum over all events of the run, equal for equal runs.
    pub trace: u64,
    /// Events of the decision code by name.
    pub counts: BTreeMap<String, u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}", self.seed)?;
        for (name, figure) in &self.figures {
            if *figure != 0.0 {
                write!(f, " {name}={figure:.3}")?;
            }
        }
        for failure in &self.failures {
            write!(f, "\n  {failure}")?;
        }
        Ok(())
    }
}

/// Whether an expectation may name this figure.
pub(crate) fn is_figure(name: &str) -> bool {
    let words: Vec<&str> = name.split(' ').collect();
    match words.as_slice() {
        [name] => FIGURES.contains(name),
        [name, _service] => OF_SERVICE.contains(name),
        _ => false,
    }
}
