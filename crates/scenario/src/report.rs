use std::collections::BTreeMap;
use std::fmt;

/// Figures that every run measures, in the order of the scenario language's documentation.
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

/// Figures of one service, whose name follows.
const SERVICE_FIGURES: &[&str] = &["members"];

/// Measured figures of a run and the expectations that it missed.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// One line for each expectation that was missed.
    pub failures: Vec<String>,
    /// Hash over all events of the run, equal for equal runs.
    pub trace: u64,
    /// Event counters of the decision code by name.
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

/// Whether `name` is a figure that an expectation may name.
pub(crate) fn is_figure(name: &str) -> bool {
    let words: Vec<&str> = name.split(' ').collect();
    match words.as_slice() {
        [name] => FIGURES.contains(name),
        [name, _service] => SERVICE_FIGURES.contains(name),
        _ => false,
    }
}
