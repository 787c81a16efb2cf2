//! Suspicion, flap damping, distrust and removal under the faults of `data/faults.json`.

mod common;

use std::collections::BTreeMap;

use common::{adopt, agent, at, beat, host, member, roster};
use serde::Deserialize;
use usher_members::{Action, Change, Event};
use usher_types::{HostId, Peer};

#[derive(Deserialize)]
struct Row {
    guards: String,
    members: usize,
    #[serde(default)]
    silent: Vec<Silence>,
    #[serde(default)]
    reports: Vec<Report>,
    store_down: Option<(u64, u64)>,
    paused: Option<(u64, u64)>,
    #[serde(default = "default_end")]
    until: u64,
    #[serde(default)]
    suspected: BTreeMap<u64, Vec<HostId>>,
    #[serde(default)]
    distrusted: BTreeMap<u64, bool>,
    removal: Option<u64>,
}

#[derive(Deserialize)]
struct Silence {
    host: HostId,
    from: u64,
    to: u64,
}

#[derive(Deserialize)]
struct Report {
    by: String,
    of: HostId,
    from: u64,
    to: u64,
}

fn default_end() -> u64 {
    40
}

impl Row {
    fn is_silent(&self, host: &HostId, second: u64) -> bool {
        let covers = |s: &&Silence| s.host == *host && (s.from..s.to).contains(&second);
        self.silent.iter().any(|s| covers(&s))
    }

    fn beats(&self, second: u64) -> Vec<Event> {
        let reports = |by: &str| {
            let made = |r: &&Report| r.by == by && (r.from..r.to).contains(&second);
            self.reports
                .iter()
                .filter(made)
                .map(|r| r.of.clone())
                .collect::<Vec<_>>()
        };
        let mut beats = vec![beat(
            Peer::Instance("b1".parse().unwrap()),
            at(second),
            reports("b1"),
        )];
        for peer in (1..self.members).map(host) {
            if !self.is_silent(&peer, second) {
                let suspects = reports(peer.as_str());
                beats.push(beat(Peer::Host(peer), at(second), suspects));
            }
        }
        beats
    }
}

#[derive(Default)]
struct Trace {
    suspected: Vec<HostId>,
    distrusted: bool,
    removal: Option<u64>,
}

impl Trace {
    fn record(&mut self, second: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Suspected { hosts, .. } => self.suspected = hosts,
                Action::Distrusted { distrusted, .. } => self.distrusted = distrusted,
                Action::Propose(proposal) => {
                    assert!(matches!(proposal.change, Change::Remove { .. }));
                    self.removal.get_or_insert(second);
                }
                Action::Beat { .. } | Action::Ack { .. } => {}
                Action::ProposeFleet(_) => panic!("an agent removes no balancer"),
            }
        }
    }
}

// Plays the row's events to the agent of h0; the roster `version` decides who proposes a removal.
fn run(row: &Row, version: u64) -> Trace {
    let mut agent = agent(0);
    let mut trace = Trace::default();
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(version, 0..row.members));
    for second in 0..row.until {
        let paused = row
            .paused
            .is_some_and(|(from, to)| (from..to).contains(&second));
        if paused {
            continue;
        }
        for event in row.beats(second) {
            agent.handle(at(second), event);
        }
        match row.store_down {
            Some((from, _)) if from == second => agent.handle(at(second), Event::StoreDown),
            Some((_, to)) if to == second => agent.handle(at(second), Event::StoreUp),
            _ => Vec::new(),
        };
        trace.record(second, agent.handle(at(second), Event::Tick));
        if let Some(expected) = row.suspected.get(&second) {
            assert_eq!(&trace.suspected, expected, "{} at {second} s", row.guards);
        }
        if let Some(expected) = row.distrusted.get(&second) {
            assert_eq!(&trace.distrusted, expected, "{} at {second} s", row.guards);
        }
    }
    trace
}

/// Guards against the failure that each row names.
#[test]
fn fault_table_holds() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("data/faults.json")).unwrap();
    for row in rows {
        // Among 64 versions, h0 is first in rendezvous order of some and not of others.
        let removals: Vec<_> = (1..=64).map(|version| run(&row, version).removal).collect();
        let proposed: Vec<_> = removals.iter().flatten().collect();
        match row.removal {
            None => assert!(proposed.is_empty(), "{}", row.guards),
            Some(second) => {
                assert!(!proposed.is_empty(), "{}", row.guards);
                assert!(
                    proposed.iter().all(|at| **at == second),
                    "{}: {proposed:?}",
                    row.guards
                );
                let alone = row.members == 2;
                assert_eq!(proposed.len() == removals.len(), alone, "{}", row.guards);
            }
        }
    }
}
