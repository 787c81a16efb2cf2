use std::collections::BTreeMap;

use usher_config::Value;
use usher_types::{Outcome, Roster, Span};

use super::{World, roster_key};
use crate::Report;
use crate::caller::Ask;
use crate::expectation::Expectation;

impl World<'_> {
    /// Measures the run and compares it with the expectations.
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

    /// Hosts that another one removed from their roster.
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
        let asks = || self.caller.asks.values();
        let count = |test: &dyn Fn(&Ask) -> bool| asks().filter(|ask| test(ask)).count() as f64;
        let told = |test: &dyn Fn(&Outcome) -> bool| {
            count(&|ask| {
                ask.sent
                    .values()
                    .filter_map(|sent| sent.told.as_ref())
                    .any(test)
            })
        };
        let calls: u64 = self.backends.values().map(|backend| backend.calls).sum();
        let runs: usize = asks().map(|ask| ask.runs.len()).sum();
        let once = asks().filter(|ask| ask.load.once);
        let running = self
            .machines
            .values()
            .filter(|machine| machine.service.is_some() && machine.process.is_some());
        let opened = self.caller.flows.iter().filter(|flow| flow.is_open());
        let mut figures = BTreeMap::from([
            ("accepted", self.tally.accepted() as f64),
            (
                "answered",
                told(&|outcome| matches!(outcome, Outcome::Answered(_))),
            ),
            ("broken_flows", self.broken_flows() as f64),
            (
                "calls_per_request",
                calls as f64 / (asks().count() as f64).max(1.0),
            ),
            ("conflicts", self.tally.conflicts as f64),
            ("damaged", self.caller.damaged as f64),
            (
                "failed",
                told(&|outcome| matches!(outcome, Outcome::Failed(_))),
            ),
            ("in_force", self.tally.in_force(self.now)),
            ("misrouted", self.misrouted() as f64),
            (
                "not_run",
                told(&|outcome| matches!(outcome, Outcome::NotRun { .. })),
            ),
            ("not_run_after_run", count(&ran_before)),
            ("not_run_but_ran", count(&ran_itself)),
            ("opened", opened.count() as f64),
            ("removed", self.tally.removed.len() as f64),
            ("requests", asks().count() as f64),
            ("reverted", self.tally.reverted as f64),
            ("running_agents", running.count() as f64),
            ("runs", runs as f64),
            (
                "runs_per_key",
                once.map(|ask| ask.runs.len()).max().unwrap_or_default() as f64,
            ),
            ("unanswered", count(&|ask| !ask.is_answered())),
            ("unknown", told(&|outcome| *outcome == Outcome::Unknown)),
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

    // Reset, never accepted, or with a request that nobody answered.
    fn broken_flows(&self) -> usize {
        let asks = self.caller.asks.values();
        let sent = asks.flat_map(|ask| &ask.sent);
        let waiting = sent.filter(|(_, sent)| sent.told.is_none());
        let mut broken: Vec<_> = waiting.map(|(id, _)| id.flow).collect();
        let closed = self.caller.flows.iter().filter(|flow| !flow.is_open());
        broken.extend(closed.map(|flow| flow.flow));
        broken.sort_unstable();
        broken.dedup();
        broken.len()
    }

    // Answers of another service, and runs at a host of another service.
    fn misrouted(&self) -> usize {
        let is_foreign = |ask: &&Ask| {
            let mut hosts = ask.runs.iter().map(|(_, host, _)| host.as_str());
            hosts.any(|host| {
                let machine = self.machines.get(host);
                machine.and_then(|machine| machine.service.as_ref()) != Some(&ask.load.service)
            })
        };
        let foreign = self.caller.asks.values().filter(is_foreign).count();
        foreign + self.caller.misrouted as usize
    }

    fn runs_after_drain(&self, after: Span) -> usize {
        let runs = self.caller.asks.values().flat_map(|ask| &ask.runs);
        runs.filter(|(_, host, time)| {
            let mut drains = self.tally.drains.iter();
            drains.any(|(drained, begin)| drained == host.as_str() && *time > *begin + after)
        })
        .count()
    }
}

// The very transmission that was told "not run" ran.
fn ran_itself(ask: &Ask) -> bool {
    let mut told = ask.not_run();
    told.any(|(id, _)| ask.runs.iter().any(|(ran, _, _)| ran == id))
}

// A repetition was told "not run" although an earlier transmission ran.
fn ran_before(ask: &Ask) -> bool {
    let mut told = ask.not_run();
    told.any(|(_, refused)| {
        let ran = ask.runs.iter().filter_map(|(id, _, _)| ask.sent.get(id));
        ran.into_iter().any(|sent| sent.time < refused.time)
    })
}
