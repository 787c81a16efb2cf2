use std::collections::BTreeSet;

use usher_types::{Span, Time};

use crate::model::{Calendar, Deployment, Ending, Host, Plan, Tally};

/// Perfect knowledge: one queue by deadline for all hosts, exact service times, no messages.
///
/// A request that can no longer be answered in time on any free host is dropped before it takes a
/// slot. The fastest free host gets the next request.
#[derive(Debug)]
pub struct Oracle<'a> {
    site: &'a Deployment,
    plan: &'a Plan,
    calendar: Calendar<Step>,
    queue: BTreeSet<(Time, usize)>,
    tally: Tally,
}

#[derive(Debug)]
enum Step {
    Arrive(usize),
    End(usize, usize, Time),
}

impl<'a> Oracle<'a> {
    /// An idle oracle.
    pub(crate) fn new(site: &'a Deployment, plan: &'a Plan, window: (Time, Time)) -> Self {
        let host = |speed: &f64| Host::new(*speed, site.slots, window);
        let hosts = site.speeds.iter().map(host).collect();
        Self {
            site,
            plan,
            calendar: Calendar::default(),
            queue: BTreeSet::new(),
            tally: Tally::new(plan, hosts, Span::ZERO),
        }
    }

    /// Serves the plan to its end.
    pub(crate) fn run(mut self) -> Tally {
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            let at = arrival.at + self.site.edge + self.site.inner;
            self.calendar.add(at, Step::Arrive(number));
        }
        while let Some((now, step)) = self.calendar.pop() {
            match step {
                Step::Arrive(number) => {
                    self.queue.insert((self.deadline(number), number));
                }
                Step::End(host, number, started) => {
                    self.tally.hosts[host].end(started, now);
                    self.tally
                        .end(number, now + self.site.edge, Ending::Answered);
                }
            }
            self.dispatch(now);
        }
        self.tally
    }

    // Latest end of the run.
    fn deadline(&self, number: usize) -> Time {
        let arrival = &self.plan.arrivals[number];
        arrival.at + self.site.mix[arrival.kind].deadline - self.site.edge
    }

    fn dispatch(&mut self, now: Time) {
        while let Some(host) = self.fastest_free() {
            let Some((deadline, number)) = self.queue.pop_first() else {
                return;
            };
            let length = self.tally.hosts[host].length(now, self.plan.arrivals[number].work);
            if now + length > deadline {
                let idle = false;
                self.tally
                    .end(number, now + self.site.edge, Ending::NotRun { idle });
                continue;
            }
            self.tally.hosts[host].begin();
            self.tally.runs += 1;
            self.calendar
                .add(now + length, Step::End(host, number, now));
        }
    }

    fn fastest_free(&self) -> Option<usize> {
        let hosts = self.tally.hosts.iter().enumerate();
        let free = hosts.filter(|(_, host)| host.has_free());
        free.max_by(|a, b| a.1.speed.total_cmp(&b.1.speed))
            .map(|(index, _)| index)
    }
}
