use usher_types::Time;

use crate::model::{Deployment, Plan, Tally};
use crate::subject::{Agents, Baseline, Choice, Options, Oracle};

/// Something that serves a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// The system under the given options.
    System(Options),
    /// A simple balancer in front of plain queues.
    Baseline(Choice, Option<usize>),
    /// Perfect knowledge and one queue.
    Oracle,
}

impl Kind {
    /// Runs the plan; busy time counts within the window.
    pub fn run(&self, site: &Deployment, plan: &Plan, window: (Time, Time), seed: u64) -> Tally {
        match self {
            Self::System(options) => Agents::new(site, plan, window, options, seed).run(),
            Self::Baseline(choice, limit) => {
                Baseline::new(site, plan, window, (*choice, *limit), seed).run()
            }
            Self::Oracle => Oracle::new(site, plan, window).run(),
        }
    }
}
