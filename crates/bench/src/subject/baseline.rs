use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_placement::{bucket_of, rank};
use usher_types::{Buckets, HostId, Span, Time, Weight};

use crate::model::{Deployment, Ending, EventQueue, Host, RunResult, Workload};

// Interval between the load reports of the hosts.
const REPORT_INTERVAL: Span = Span::from_secs(1);
const BUCKETS: Buckets = Buckets::new(4_096);

/// How a simple balancer selects the host of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balancing {
    /// Rendezvous hashing with equal weights.
    Hash,
    /// Each balancer takes the hosts in turn.
    RoundRobin,
    /// The host with the fewest connections and requests in the last report.
    LeastLoaded,
    /// The less loaded of two random hosts in the last report.
    TwoChoices,
}

/// A simple balancer in front of hosts with first-in-first-out queues.
///
/// Hosts report their connections and their queued and running requests once a second.
#[derive(Debug)]
pub struct Baseline<'a> {
    site: &'a Deployment,
    workload: &'a Workload,
    balancing: Balancing,
    queue_limit: usize,
    rng: Pcg64,
    events: EventQueue<Step>,
    host_ids: Vec<HostId>,
    queues: Vec<VecDeque<usize>>,
    connections: Vec<usize>,
    // Load in the last report of each host.
    reports: Vec<usize>,
    // Counter of each balancer: modulo the number of hosts, the host that it chose last.
    turns: Vec<usize>,
    // Host of each flow.
    flow_hosts: Vec<usize>,
    result: RunResult,
}

/// A simulated event; numbers are indexes of flows, hosts and requests.
#[derive(Debug)]
enum Step {
    /// The balancer assigns the flow to a host.
    Open(usize),
    /// The host's connection of the flow ends.
    Close(usize),
    /// The request arrives at its host.
    Arrive(usize),
    /// The host ends the request that it started at the given time.
    End(usize, usize, Time),
    /// All hosts report their load.
    Report,
}

impl<'a> Baseline<'a> {
    /// Creates a balancer with idle hosts; `queue_limit` bounds the queue of each host.
    pub(crate) fn new(
        site: &'a Deployment,
        workload: &'a Workload,
        window: (Time, Time),
        (balancing, queue_limit): (Balancing, Option<usize>),
        seed: u64,
    ) -> Self {
        let count = site.speeds.len();
        let hosts = site
            .speeds
            .iter()
            .map(|s| Host::new(*s, site.slots, window))
            .collect();
        let host_ids = (0..count)
            .filter_map(|i| format!("host-{i}").parse().ok())
            .collect();
        Self {
            site,
            workload,
            balancing,
            queue_limit: queue_limit.unwrap_or(usize::MAX),
            rng: Pcg64::seed_from_u64(seed),
            events: EventQueue::default(),
            host_ids,
            queues: vec![VecDeque::new(); count],
            connections: vec![0; count],
            reports: vec![0; count],
            turns: (0..site.balancers).collect(),
            flow_hosts: vec![0; workload.flows.len()],
            result: RunResult::new(workload, hosts, Span::ZERO),
        }
    }

    /// Simulates the workload to its end.
    pub(crate) fn run(mut self) -> RunResult {
        let latency = self.site.caller_latency + self.site.centre_latency;
        let mut last = Time::ZERO;
        for (number, flow) in self.workload.flows.iter().enumerate() {
            self.events.add(flow.opens + latency, Step::Open(number));
            if let Some(at) = flow.closes {
                self.events.add(at + latency, Step::Close(number));
            }
        }
        for (number, arrival) in self.workload.arrivals.iter().enumerate() {
            self.events.add(arrival.at + latency, Step::Arrive(number));
            last = arrival.at;
        }
        let mut report = Time::ZERO;
        while report < last {
            self.events.add(report, Step::Report);
            report = report + REPORT_INTERVAL;
        }
        while let Some((now, step)) = self.events.pop() {
            self.apply(now, &step);
        }
        self.result
    }

    fn apply(&mut self, now: Time, step: &Step) {
        match *step {
            Step::Open(flow) => {
                self.flow_hosts[flow] = self.choose(flow);
                self.connections[self.flow_hosts[flow]] += 1;
            }
            Step::Close(flow) => self.connections[self.flow_hosts[flow]] -= 1,
            Step::Arrive(number) => self.arrive(now, number),
            Step::End(host, number, started) => {
                self.result.hosts[host].end(started, now);
                self.result
                    .end(number, now + self.site.caller_latency, Ending::Answered);
                self.dispatch(now, host);
            }
            Step::Report => {
                for host in 0..self.reports.len() {
                    let requests = self.queues[host].len() + self.result.hosts[host].busy;
                    self.reports[host] = self.connections[host] + requests;
                }
            }
        }
    }

    fn choose(&mut self, flow: usize) -> usize {
        let count = self.host_ids.len();
        match self.balancing {
            Balancing::Hash => {
                let bucket = bucket_of(&self.workload.flows[flow].id, BUCKETS);
                let nominal = self.host_ids.iter().map(|name| (name, Weight::NOMINAL));
                let first = rank(u64::from(bucket.get()), nominal)[0];
                self.host_ids
                    .iter()
                    .position(|name| name == first)
                    .unwrap_or(0)
            }
            Balancing::RoundRobin => {
                let balancer = self.rng.random_range(0..self.turns.len());
                self.turns[balancer] += 1;
                self.turns[balancer] % count
            }
            Balancing::LeastLoaded => (0..count).min_by_key(|i| self.reports[*i]).unwrap_or(0),
            Balancing::TwoChoices => {
                let (a, b) = (
                    self.rng.random_range(0..count),
                    self.rng.random_range(0..count),
                );
                if self.reports[a] <= self.reports[b] {
                    a
                } else {
                    b
                }
            }
        }
    }

    fn arrive(&mut self, now: Time, number: usize) {
        let host = self.flow_hosts[self.workload.arrivals[number].flow];
        if self.queues[host].len() >= self.queue_limit {
            let idle = self.result.any_free();
            self.result.end(
                number,
                now + self.site.caller_latency,
                Ending::NotRun { idle },
            );
            return;
        }
        self.queues[host].push_back(number);
        self.dispatch(now, host);
    }

    fn dispatch(&mut self, now: Time, host: usize) {
        while self.result.hosts[host].has_free() {
            let Some(number) = self.queues[host].pop_front() else {
                return;
            };
            let duration =
                self.result.hosts[host].duration(now, self.workload.arrivals[number].work);
            self.result.hosts[host].begin();
            self.result.runs += 1;
            self.events
                .add(now + duration, Step::End(host, number, now));
        }
    }
}
