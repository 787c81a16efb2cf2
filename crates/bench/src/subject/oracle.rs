use std::collections::BTreeSet;

use usher_types::{Span, Time};

use crate::model::{Deployment, Ending, EventQueue, Host, RunResult, Workload};

/// An ideal scheduler: one queue by deadline for all hosts, exact service times, no messages.
///
/// The fastest free host gets the next request. A request that can no longer be answered in time
/// there is refused before it takes a slot.
#[derive(Debug)]
pub struct Oracle<'a> {
    site: &'a Deployment,
    workload: &'a Workload,
    events: EventQueue<Step>,
    queue: BTreeSet<(Time, usize)>,
    result: RunResult,
}

/// A simulated event; numbers are indexes of hosts and requests.
#[derive(Debug)]
enum Step {
    /// The request arrives at the queue.
    Arrive(usize),
    /// The host ends the request that it started at the given time.
    End(usize, usize, Time),
}

impl<'a> Oracle<'a> {
    /// Creates an oracle with idle hosts.
    pub(crate) fn new(site: &'a Deployment, workload: &'a Workload, window: (Time, Time)) -> Self {
        let host = |speed: &f64| Host::new(*speed, site.slots, window);
        let hosts = site.speeds.iter().map(host).collect();
        Self {
            site,
            workload,
            events: EventQueue::default(),
            queue: BTreeSet::new(),
            result: RunResult::new(workload, hosts, Span::ZERO),
        }
    }

    /// Simulates the workload to its end.
    pub(crate) fn run(mut self) -> RunResult {
        for (number, arrival) in self.workload.arrivals.iter().enumerate() {
            let at = arrival.at + self.site.caller_latency + self.site.centre_latency;
            self.events.add(at, Step::Arrive(number));
        }
        while let Some((now, step)) = self.events.pop() {
            match step {
                Step::Arrive(number) => {
                    self.queue.insert((self.deadline(number), number));
                }
                Step::End(host, number, started) => {
                    self.result.hosts[host].end(started, now);
                    self.result
                        .end(number, now + self.site.caller_latency, Ending::Answered);
                }
            }
            self.dispatch(now);
        }
        self.result
    }

    // Latest time at which a host can finish a request so that its answer arrives in time.
    fn deadline(&self, number: usize) -> Time {
        let arrival = &self.workload.arrivals[number];
        arrival.at + self.site.mix[arrival.kind].deadline - self.site.caller_latency
    }

    fn dispatch(&mut self, now: Time) {
        while let Some(host) = self.fastest_free() {
            let Some((deadline, number)) = self.queue.pop_first() else {
                return;
            };
            let duration =
                self.result.hosts[host].duration(now, self.workload.arrivals[number].work);
            if now + duration > deadline {
                let idle = false;
                self.result.end(
                    number,
                    now + self.site.caller_latency,
                    Ending::NotRun { idle },
                );
                continue;
            }
            self.result.hosts[host].begin();
            self.result.runs += 1;
            self.events
                .add(now + duration, Step::End(host, number, now));
        }
    }

    fn fastest_free(&self) -> Option<usize> {
        let hosts = self.result.hosts.iter().enumerate();
        let free = hosts.filter(|(_, host)| host.has_free());
        free.max_by(|a, b| a.1.speed.total_cmp(&b.1.speed))
            .map(|(index, _)| index)
    }
}
