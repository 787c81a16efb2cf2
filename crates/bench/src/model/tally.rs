use usher_types::{Span, Time};

use crate::model::{Deployment, Host, Plan};

/// How a request ended at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered, in time or not.
    Answered,
    /// Refused; `idle` when a slot of the service was free at that time.
    NotRun {
        /// A slot was free.
        idle: bool,
    },
    /// Failed or outcome unknown.
    Failed,
}

/// What one run measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// Time at the caller and ending of each arrival of the plan.
    pub endings: Vec<Option<(Time, Ending)>>,
    /// Reset flows.
    pub broken: usize,
    /// Hosts with their busy time.
    pub hosts: Vec<Host>,
    /// Control bytes that each agent sent.
    pub control: Vec<u64>,
    /// Runs that backend servers started.
    pub runs: u64,
    /// Length of the run.
    pub length: Span,
}

impl Tally {
    /// Nothing measured yet.
    pub(crate) fn new(plan: &Plan, hosts: Vec<Host>, length: Span) -> Self {
        Self {
            endings: vec![None; plan.arrivals.len()],
            broken: 0,
            control: vec![0; hosts.len()],
            hosts,
            runs: 0,
            length,
        }
    }

    /// Records the first ending of a request.
    pub(crate) fn end(&mut self, number: usize, now: Time, ending: Ending) {
        self.endings[number].get_or_insert((now, ending));
    }

    pub(crate) fn any_free(&self) -> bool {
        self.hosts.iter().any(Host::has_free)
    }

    /// Utilization of each host divided by the mean over all strength.
    pub fn loads(&self) -> Vec<f64> {
        let used: f64 = self
            .hosts
            .iter()
            .map(|h| h.used.as_secs_f64() * h.speed)
            .sum();
        let strength: f64 = self.hosts.iter().map(|h| h.speed * h.slots as f64).sum();
        let even = used / strength;
        let load = |h: &Host| h.used.as_secs_f64() / h.slots as f64 / even;
        self.hosts.iter().map(load).collect()
    }

    /// Latency of a request that was answered in time.
    pub fn latency(&self, site: &Deployment, plan: &Plan, number: usize) -> Option<Span> {
        let arrival = &plan.arrivals[number];
        match self.endings[number] {
            Some((at, Ending::Answered)) => {
                let latency = at - arrival.at;
                (latency <= site.mix[arrival.kind].deadline).then_some(latency)
            }
            _ => None,
        }
    }
}
