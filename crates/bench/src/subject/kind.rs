use usher_types::Time;

use crate::model::{Deployment, RunResult, Workload};
use crate::subject::{Agents, Balancing, Baseline, Options, Oracle};

/// What serves the workload of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum SubjectKind {
    /// The system with the given options.
    System(Options),
    /// A simple balancer and, if set, the greatest length of the hosts' queues.
    Baseline(Balancing, Option<usize>),
    /// An ideal scheduler with perfect knowledge and one queue.
    Oracle,
}

impl SubjectKind {
    /// Simulates the workload; hosts count busy time within the window.
    pub fn run(
        &self,
        site: &Deployment,
        workload: &Workload,
        window: (Time, Time),
        seed: u64,
    ) -> RunResult {
        match self {
            Self::System(options) => Agents::new(site, workload, window, options, seed).run(),
            Self::Baseline(balancing, limit) => {
                Baseline::new(site, workload, window, (*balancing, *limit), seed).run()
            }
            Self::Oracle => Oracle::new(site, workload, window).run(),
        }
    }
}
