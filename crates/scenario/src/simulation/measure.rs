use std::collections::BTreeMap;

use usher_config::Value;
use usher_types::{Outcome, Roster, Span};

use super::{Simulation, roster_key};
use crate::Report;
use crate::callers::TrackedRequest;
use crate::expectation::Expectation;

impl Simulation<'_> {
    /// Computes the figures of the run and compares them with the expectations.
    pub(super) fn report(mut self) -> Report {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.collect_counts(&name);
        }
        let figures = self.figures();
        let failures = self
            .scenario
            .expectations
            .iter()
            .filter_map(|expectation| self.failure(expectation, &figures))
            .collect();
        Report {
            seed: self.seed,
            figures,
            failures,
            trace: self.tally.trace(),
            counts: self.tally.counts,
        }
    }

    /// Records the hosts that a process other than their own removed from the roster.
    pub(super) fn note_removed(&mut self, writer: &str, roster: &Roster) {
        if let Some(before) = roster.earlier.first() {
            let gone = before.members.keys();
            let gone = gone.filter(|host| !roster.members.contains_key(*host));
            let by_others = gone.filter(|host| host.as_str() != writer);
            self.tally
                .removed
                .extend(by_others.map(ToString::to_string));
        }
    }

    pub(super) fn collect_counts(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let counts = match (machine.agent(), ()) {
            (Some(agent), ()) => std::mem::take(&mut agent.counts),
            (None, ()) => machine
                .balancer()
                .map(|balancer| std::mem::take(&mut balancer.dropped))
                .unwrap_or_default(),
        };
        for (name, count) in counts {
            *self.tally.counts.entry(name).or_default() += count;
        }
    }

    fn failure(
        &self,
        expectation: &Expectation,
        figures: &BTreeMap<String, f64>,
    ) -> Option<String> {
        let figure = match expectation.name.as_str() {
            "new_runs_after_drain" => self.runs_after_drain(expectation.after) as f64,
            name => figures.get(name).copied().unwrap_or_default(),
        };
        let line = expectation.line;
        (!expectation.holds(figure))
            .then(|| format!("line {line}: expected {expectation}, measured {figure:.3}"))
    }

    fn figures(&self) -> BTreeMap<String, f64> {
        let requests = || self.callers.requests.values();
        let count = |test: &dyn Fn(&TrackedRequest) -> bool| {
            requests().filter(|tracked| test(tracked)).count() as f64
        };
        let replied = |test: &dyn Fn(&Outcome) -> bool| {
            count(&|tracked| {
                tracked
                    .transmissions
                    .values()
                    .filter_map(|transmission| transmission.reply.as_ref())
                    .any(test)
            })
        };
        let calls: u64 = self.backends.values().map(|backend| backend.calls).sum();
        let runs: usize = requests().map(|tracked| tracked.runs.len()).sum();
        let once = requests().filter(|tracked| tracked.load.once);
        let running = self
            .machines
            .values()
            .filter(|machine| machine.service.is_some() && machine.process.is_some());
        let opened = self.callers.flows.iter().filter(|flow| flow.is_open());
        let mut figures = BTreeMap::from([
            ("accepted", self.tally.accepted() as f64),
            (
                "answered",
                replied(&|outcome| matches!(outcome, Outcome::Answered(_))),
            ),
            ("broken_flows", self.broken_flows() as f64),
            (
                "calls_per_request",
                calls as f64 / (requests().count() as f64).max(1.0),
            ),
            ("conflicts", self.tally.conflicts as f64),
            ("damaged", self.callers.damaged as f64),
            (
                "failed",
                replied(&|outcome| matches!(outcome, Outcome::Failed(_))),
            ),
            ("in_force", self.tally.in_force(self.now)),
            ("misrouted", self.misrouted() as f64),
            (
                "not_run",
                replied(&|outcome| matches!(outcome, Outcome::NotRun { .. })),
            ),
            ("not_run_after_run", count(&ran_before)),
            ("not_run_but_ran", count(&ran_itself)),
            ("opened", opened.count() as f64),
            ("removed", self.tally.removed.len() as f64),
            ("requests", requests().count() as f64),
            ("reverted", self.tally.reverted as f64),
            ("running_agents", running.count() as f64),
            ("runs", runs as f64),
            (
                "runs_per_key",
                once.map(|tracked| tracked.runs.len())
                    .max()
                    .unwrap_or_default() as f64,
            ),
            ("unanswered", count(&|tracked| !tracked.is_answered())),
            ("unknown", replied(&|outcome| *outcome == Outcome::Unknown)),
        ])
        .into_iter()
        .map(|(name, figure)| (name.to_owned(), figure))
        .collect::<BTreeMap<_, _>>();
        for spec in &self.scenario.services {
            let members = self.members(&roster_key(&spec.name));
            figures.insert(format!("members {}", spec.name), members as f64);
        }
        figures
    }

    fn members(&self, key: &usher_config::ObjectKey) -> usize {
        match self
            .store
            .latest(key)
            .and_then(|object| object.value.as_ref())
        {
            Some(Value::Roster(roster)) => roster.members.len(),
            _ => 0,
        }
    }

    // Counts flows that were reset, were never accepted, or have an unanswered request.
    fn broken_flows(&self) -> usize {
        let requests = self.callers.requests.values();
        let transmissions = requests.flat_map(|tracked| &tracked.transmissions);
        let waiting = transmissions.filter(|(_, transmission)| transmission.reply.is_none());
        let mut broken: Vec<_> = waiting.map(|(id, _)| id.flow).collect();
        let closed = self.callers.flows.iter().filter(|flow| !flow.is_open());
        broken.extend(closed.map(|flow| flow.flow));
        broken.sort_unstable();
        broken.dedup();
        broken.len()
    }

    // Counts answers from another service and requests that ran on a host of another service.
    fn misrouted(&self) -> usize {
        let is_foreign = |tracked: &&TrackedRequest| {
            let mut hosts = tracked.runs.iter().map(|(_, host, _)| host.as_str());
            hosts.any(|host| {
                let machine = self.machines.get(host);
                machine.and_then(|machine| machine.service.as_ref()) != Some(&tracked.load.service)
            })
        };
        let foreign = self.callers.requests.values().filter(is_foreign).count();
        foreign + self.callers.misrouted as usize
    }

    fn runs_after_drain(&self, after: Span) -> usize {
        let runs = self
            .callers
            .requests
            .values()
            .flat_map(|tracked| &tracked.runs);
        runs.filter(|(_, host, time)| {
            let mut drains = self.tally.drains.iter();
            drains.any(|(drained, begin)| drained == host.as_str() && *time > *begin + after)
        })
        .count()
    }
}

// Whether a transmission ran although its reply was "not run".
fn ran_itself(tracked: &TrackedRequest) -> bool {
    let mut not_run = tracked.not_run();
    not_run.any(|(id, _)| tracked.runs.iter().any(|(ran, _, _)| ran == id))
}

// Whether the reply to a transmission was "not run" although an earlier one ran.
fn ran_before(tracked: &TrackedRequest) -> bool {
    let mut not_run = tracked.not_run();
    not_run.any(|(_, refused)| {
        let ran = tracked
            .runs
            .iter()
            .filter_map(|(id, _, _)| tracked.transmissions.get(id));
        ran.into_iter()
            .any(|transmission| transmission.time < refused.time)
    })
}
