//! The experiments and the figures that each of them reports.

mod blocking;
mod churn;
mod crest;
mod imbalance;
mod retries;
mod subjects;
mod table;

use argh::FromArgValue;

pub use table::{Row, Table};

/// A group of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromArgValue)]
pub enum Experiment {
    /// Distribution of a steady load over hosts of different strength.
    Imbalance,
    /// Goodput and latency during a burst of several times the capacity.
    Crest,
    /// Delay of short requests by long ones.
    Blocking,
    /// Calls per request while backend servers fail.
    Retries,
    /// Flows and requests during planned restarts.
    Churn,
    /// All experiments.
    All,
}

impl Experiment {
    /// Runs the experiment with the seeds 1 to `seeds`.
    ///
    /// It covers the subjects whose name contains `subject`; `retries` and `churn` have subjects of
    /// their own and run all of them.
    pub fn run(self, seeds: u64, subject: &str) -> Vec<Table> {
        match self {
            Self::Imbalance => imbalance::run(seeds, subject),
            Self::Crest => crest::run(seeds, subject),
            Self::Blocking => blocking::run(seeds, subject),
            Self::Retries => retries::run(seeds),
            Self::Churn => churn::run(seeds),
            Self::All => {
                let each = [
                    Self::Imbalance,
                    Self::Crest,
                    Self::Blocking,
                    Self::Retries,
                    Self::Churn,
                ];
                let tables = each.into_iter().flat_map(|e| e.run(seeds, subject));
                tables.collect()
            }
        }
    }
}
