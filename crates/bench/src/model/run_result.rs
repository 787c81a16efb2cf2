use usher_types::{Span, Time};

use crate::model::{Deployment, Host, Workload};

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered, in time or late.
    Answered,
    /// Refused without having run.
    NotRun {
        /// Whether some host had a free slot at that time.
        idle: bool,
    },
    /// Failed, or ended with an unknown outcome.
    Failed,
}

/// Results of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunResult {
    /// Ending of each request and the time at which its caller learned of it.
    pub endings: Vec<Option<(Time, Ending)>>,
    /// Number of flows that were reset.
    pub broken: usize,
    /// Hosts with their busy time.
    pub hosts: Vec<Host>,
    /// Bytes of control messages that each agent sent.
    pub control: Vec<u64>,
    /// Number of calls to backend servers.
    pub runs: u64,
    /// Simulated time that a run of the system lasted; zero for other subjects.
    pub duration: Span,
}

impl RunResult {
    /// Creates an empty result.
    pub(crate) fn new(workload: &Workload, hosts: Vec<Host>, duration: Span) -> Self {
        Self {
            endings: vec![None; workload.arrivals.len()],
            broken: 0,
            control: vec![0; hosts.len()],
            hosts,
            runs: 0,
            duration,
        }
    }

    /// Records the ending of a request; later endings of it are ignored.
    pub(crate) fn end(&mut self, number: usize, now: Time, ending: Ending) {
        self.endings[number].get_or_insert((now, ending));
    }

    /// Whether some host has a free slot.
    pub(crate) fn any_free(&self) -> bool {
        self.hosts.iter().any(Host::has_free)
    }

    /// Utilization of each host divided by the mean utilization.
    ///
    /// Hosts count in the mean by their strength, the product of speed and slots.
    pub fn loads(&self) -> Vec<f64> {
        let used: f64 = self
            .hosts
            .iter()
            .map(|h| h.busy_time.as_secs_f64() * h.speed)
            .sum();
        let strength: f64 = self.hosts.iter().map(|h| h.speed * h.slots as f64).sum();
        let mean = used / strength;
        let load = |h: &Host| h.busy_time.as_secs_f64() / h.slots as f64 / mean;
        self.hosts.iter().map(load).collect()
    }

    /// Latency of a request, or `None` if it was not answered in time.
    pub fn latency(&self, site: &Deployment, workload: &Workload, number: usize) -> Option<Span> {
        let arrival = &workload.arrivals[number];
        match self.endings[number] {
            Some((at, Ending::Answered)) => {
                let latency = at - arrival.at;
                (latency <= site.mix[arrival.kind].deadline).then_some(latency)
            }
            _ => None,
        }
    }
}
