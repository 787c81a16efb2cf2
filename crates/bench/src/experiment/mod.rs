//! What is run and which figures are taken.

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
    /// Load divided by strength across hosts under a steady load.
    Imbalance,
    /// Service during a rush of several times the capacity.
    Crest,
    /// Short requests behind long ones.
    Blocking,
    /// Calls per request while backend servers fail.
    Retries,
    /// Flows and requests during planned restarts.
    Churn,
    /// All of them.
    All,
}

impl Experiment {
    /// Runs the experiment with the seeds 1 to `seeds` on the subjects whose name contains
    /// `subject`; `retries` and `churn` have subjects of their own and run all of them.
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
