use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_placement::{bucket_of, rank};
use usher_types::{Buckets, HostId, Span, Time, Weight};

use crate::model::{Calendar, Deployment, Ending, Host, Plan, Tally};

// Age of the load that hosts report.
const LAG: Span = Span::from_secs(1);
const BUCKETS: Buckets = Buckets::new(4_096);

/// How a simple balancer assigns a new flow to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Rendezvous hashing with equal weights.
    Hash,
    /// Each balancer in turn.
    RoundRobin,
    /// Fewest connections and requests by the last report.
    LeastLoaded,
    /// The better of two random hosts by the last report.
    TwoChoices,
}

/// A simple balancer in front of hosts with first-in-first-out queues.
///
/// Hosts report connections and held requests once a second.
#[derive(Debug)]
pub struct Baseline<'a> {
    site: &'a Deployment,
    plan: &'a Plan,
    choice: Choice,
    limit: usize,
    rng: Pcg64,
    calendar: Calendar<Step>,
    names: Vec<HostId>,
    queues: Vec<VecDeque<usize>>,
    connections: Vec<usize>,
    reports: Vec<usize>,
    turns: Vec<usize>,
    holders: Vec<usize>,
    tally: Tally,
}

#[derive(Debug)]
enum Step {
    Open(usize),
    Close(usize),
    Arrive(usize),
    End(usize, usize, Time),
    Report,
}

impl<'a> Baseline<'a> {
    /// Idle hosts; `limit` bounds each queue.
    pub(crate) fn new(
        site: &'a Deployment,
        plan: &'a Plan,
        window: (Time, Time),
        (choice, limit): (Choice, Option<usize>),
        seed: u64,
    ) -> Self {
        let count = site.speeds.len();
        let hosts = site
            .speeds
            .iter()
            .map(|s| Host::new(*s, site.slots, window))
            .collect();
        let names = (0..count)
            .filter_map(|i| format!("host-{i}").parse().ok())
            .collect();
        Self {
            site,
            plan,
            choice,
            limit: limit.unwrap_or(usize::MAX),
            rng: Pcg64::seed_from_u64(seed),
            calendar: Calendar::default(),
            names,
            queues: vec![VecDeque::new(); count],
            connections: vec![0; count],
            reports: vec![0; count],
            turns: (0..site.balancers).collect(),
            holders: vec![0; plan.flows.len()],
            tally: Tally::new(plan, hosts, Span::ZERO),
        }
    }

    /// Serves the plan to its end.
    pub(crate) fn run(mut self) -> Tally {
        let way = self.site.edge + self.site.inner;
        let mut last = Time::ZERO;
        for (number, flow) in self.plan.flows.iter().enumerate() {
            self.calendar.add(flow.opens + way, Step::Open(number));
            if let Some(at) = flow.closes {
                self.calendar.add(at + way, Step::Close(number));
            }
        }
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.calendar.add(arrival.at + way, Step::Arrive(number));
            last = arrival.at;
        }
        let mut report = Time::ZERO;
        while report < last {
            self.calendar.add(report, Step::Report);
            report = report + LAG;
        }
        while let Some((now, step)) = self.calendar.pop() {
            self.act(now, &step);
        }
        self.tally
    }

    fn act(&mut self, now: Time, step: &Step) {
        match *step {
            Step::Open(flow) => {
                self.holders[flow] = self.choose(flow);
                self.connections[self.holders[flow]] += 1;
            }
            Step::Close(flow) => self.connections[self.holders[flow]] -= 1,
            Step::Arrive(number) => self.arrive(now, number),
            Step::End(host, number, started) => {
                self.tally.hosts[host].end(started, now);
                self.tally
                    .end(number, now + self.site.edge, Ending::Answered);
                self.dispatch(now, host);
            }
            Step::Report => {
                for host in 0..self.reports.len() {
                    let held = self.queues[host].len() + self.tally.hosts[host].busy;
                    self.reports[host] = self.connections[host] + held;
                }
            }
        }
    }

    fn choose(&mut self, flow: usize) -> usize {
        let count = self.names.len();
        match self.choice {
            Choice::Hash => {
                let bucket = bucket_of(&self.plan.flows[flow].id, BUCKETS);
                let nominal = self.names.iter().map(|name| (name, Weight::NOMINAL));
                let first = rank(u64::from(bucket.get()), nominal)[0];
                self.names
                    .iter()
                    .position(|name| name == first)
                    .unwrap_or(0)
            }
            Choice::RoundRobin => {
                let balancer = self.rng.random_range(0..self.turns.len());
                self.turns[balancer] += 1;
                self.turns[balancer] % count
            }
            Choice::LeastLoaded => (0..count).min_by_key(|i| self.reports[*i]).unwrap_or(0),
            Choice::TwoChoices => {
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
        let host = self.holders[self.plan.arrivals[number].flow];
        if self.queues[host].len() >= self.limit {
            let idle = self.tally.any_free();
            self.tally
                .end(number, now + self.site.edge, Ending::NotRun { idle });
            return;
        }
        self.queues[host].push_back(number);
        self.dispatch(now, host);
    }

    fn dispatch(&mut self, now: Time, host: usize) {
        while self.tally.hosts[host].has_free() {
            let Some(number) = self.queues[host].pop_front() else {
                return;
            };
            let length = self.tally.hosts[host].length(now, self.plan.arrivals[number].work);
            self.tally.hosts[host].begin();
            self.tally.runs += 1;
            self.calendar
                .add(now + length, Step::End(host, number, now));
        }
    }
}
