//! What is run and which figures are taken.

mod blocking;
mod crest;
mod imbalance;
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
    /// All of them.
    All,
}

impl Experiment {
    /// Runs the experiment with the seeds 1 to `seeds` on the subjects whose name contains `subject`.
    pub fn run(self, seeds: u64, subject: &str) -> Vec<Table> {
        match self {
            Self::Imbalance => imbalance::run(seeds, subject),
            Self::Crest => crest::run(seeds, subject),
            Self::Blocking => blocking::run(seeds, subject),
            Self::All => [Self::Imbalance, Self::Crest, Self::Blocking]
                .into_iter()
                .flat_map(|experiment| experiment.run(seeds, subject))
                .collect(),
        }
    }
}
