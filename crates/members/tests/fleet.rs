//! Removal of silent balancers by their peers, under the faults of `data/fleet.json`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use rand_pcg::Pcg64;
use serde::Deserialize;
use usher_members::{Action, Event, FleetProposal, Identity, Membership};
use usher_types::{Balancer, Fleet, Incarnation, InstanceId, Span, Time, Version};

/// Seconds that each row is simulated for.
const END: u64 = 45;
const SEED: u128 = 7;

fn at(second: u64) -> Time {
    Time::ZERO + Span::from_secs(second)
}

#[derive(Deserialize)]
struct Row {
    guards: String,
    balancers: usize,
    #[serde(default)]
    dead: BTreeMap<InstanceId, (u64, u64)>,
    #[serde(default)]
    paused: BTreeMap<InstanceId, (u64, u64)>,
    #[serde(default)]
    restarted: BTreeMap<InstanceId, u64>,
    #[serde(default)]
    losses: Vec<Loss>,
    store_down: Option<(u64, u64)>,
    // Balancers whose writes never reach the store.
    #[serde(default)]
    cut_off: Vec<InstanceId>,
    removed: BTreeMap<InstanceId, u64>,
}

#[derive(Deserialize)]
struct Loss {
    of: InstanceId,
    by: InstanceId,
    from: u64,
    to: u64,
}

impl Row {
    fn is_dead(&self, name: &InstanceId, second: u64) -> bool {
        let dead = self.dead.get(name);
        dead.is_some_and(|(from, to)| (*from..*to).contains(&second))
    }

    fn receives(&self, by: &InstanceId, of: &InstanceId, second: u64) -> bool {
        let covers = |loss: &Loss| {
            loss.by == *by && loss.of == *of && (loss.from..loss.to).contains(&second)
        };
        !self.is_dead(of, second) && !self.losses.iter().any(covers)
    }

    fn store_is_down(&self, second: u64) -> bool {
        let down = self.store_down;
        down.is_some_and(|(from, to)| (from..to).contains(&second))
    }
}

struct Simulation {
    fleet: Fleet,
    balancers: IndexMap<InstanceId, Membership>,
    removed: BTreeMap<InstanceId, u64>,
}

fn name(index: usize) -> InstanceId {
    format!("b{index}").parse().unwrap()
}

fn control(index: usize) -> SocketAddrV4 {
    format!("127.0.0.2:{}", 7_000 + index).parse().unwrap()
}

fn entry(index: usize) -> Balancer {
    Balancer {
        incarnation: Incarnation::new(1),
        control: control(index),
        admin: control(index + 100),
    }
}

fn balancer(index: usize) -> Membership {
    let identity = Identity::Balancer {
        instance: name(index),
        centre: "kolkata".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    Membership::new(identity, Box::new(Pcg64::new(SEED, 1)))
}

impl Simulation {
    fn new(row: &Row, version: u64) -> Self {
        let fleet = Fleet {
            version: Version::new(version),
            balancers: (0..row.balancers).map(|i| (name(i), entry(i))).collect(),
        };
        let mut simulation = Self {
            fleet,
            balancers: (0..row.balancers).map(|i| (name(i), balancer(i))).collect(),
            removed: BTreeMap::new(),
        };
        simulation.publish(0);
        simulation
    }

    fn publish(&mut self, second: u64) {
        let fleet = Arc::new(self.fleet.clone());
        for membership in self.balancers.values_mut() {
            let centre = "kolkata".parse().unwrap();
            let fleet = Arc::clone(&fleet);
            membership.handle(at(second), Event::Fleet { centre, fleet });
        }
    }

    fn step(&mut self, row: &Row, second: u64) {
        if let Some((from, to)) = row.store_down {
            let change = [(from, Event::StoreDown), (to, Event::StoreUp)];
            for (_, event) in change.into_iter().filter(|(when, _)| *when == second) {
                for membership in self.balancers.values_mut() {
                    membership.handle(at(second), event.clone());
                }
            }
        }
        for (name, _) in row.restarted.iter().filter(|(_, when)| **when == second) {
            self.fleet.version = Version::new(self.fleet.version.get() + 1);
            self.fleet.balancers[name].incarnation = Incarnation::new(2);
            self.publish(second);
        }
        let names: Vec<InstanceId> = self.balancers.keys().cloned().collect();
        for name in names {
            let paused = row.paused.get(&name);
            if paused.is_some_and(|(from, to)| (*from..*to).contains(&second)) {
                continue;
            }
            let actions = self.balancers[&name].handle(at(second), Event::Tick);
            if row.is_dead(&name, second) {
                continue;
            }
            for action in actions {
                self.perform(row, second, &name, action);
            }
        }
    }

    fn perform(&mut self, row: &Row, second: u64, from: &InstanceId, action: Action) {
        match action {
            Action::Beat { to, beat } => {
                for (index, (name, membership)) in self.balancers.iter_mut().enumerate() {
                    if to.contains(&control(index)) && row.receives(name, from, second) {
                        let (source, beat) = (control(0), beat.clone());
                        membership.handle(at(second), Event::Beat { source, beat });
                    }
                }
            }
            Action::ProposeFleet(_) if row.cut_off.contains(from) => {}
            Action::ProposeFleet(proposal) => self.write(row, second, &proposal),
            other => panic!("{}: {other:?}", row.guards),
        }
    }

    fn write(&mut self, row: &Row, second: u64, proposal: &FleetProposal) {
        assert!(!row.store_is_down(second), "{}", row.guards);
        let changed = proposal.apply(&self.fleet);
        let mut changed = changed
            .unwrap_or_else(|| panic!("{}: two balancers wrote the same removal", row.guards));
        for absent in self.fleet.balancers.keys() {
            if !changed.balancers.contains_key(absent) {
                self.removed.insert(absent.clone(), second);
            }
        }
        changed.version = Version::new(changed.version.get() + 1);
        self.fleet = changed;
        self.publish(second);
    }
}

/// Guards against the failure that each row names, and against two writers of one removal.
#[test]
fn fleet_table_holds() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("data/fleet.json")).unwrap();
    for row in rows {
        let mut simulation = Simulation::new(&row, 1);
        for second in 0..END {
            simulation.step(&row, second);
        }
        assert_eq!(simulation.removed, row.removed, "{}", row.guards);
    }
}

/// Guards against a removal that takes out a balancer that has been restarted since its suspicion.
#[test]
fn proposal_spares_a_later_process() {
    let proposal = |incarnation| FleetProposal {
        centre: "kolkata".parse().unwrap(),
        base: Version::new(1),
        balancers: vec![(name(0), Incarnation::new(incarnation))],
    };
    let fleet = Fleet {
        version: Version::new(1),
        balancers: [(name(0), entry(0)), (name(1), entry(1))].into(),
    };
    assert!(proposal(0).apply(&fleet).is_none());
    let changed = proposal(1).apply(&fleet).unwrap();
    assert_eq!(changed.balancers.keys().collect::<Vec<_>>(), [&name(1)]);
}

/// Guards against a large fleet whose balancers never report a silent one to each other.
#[test]
fn all_receivers_of_a_silent_balancer_are_notified() {
    let row: Row = serde_json::from_str(
        r#"{"guards": "", "balancers": 40, "dead": {"b1": [1, 60]}, "removed": {}}"#,
    )
    .unwrap();
    let mut simulation = Simulation::new(&row, 1);
    let targets = |actions: Vec<Action>| match actions.into_iter().next() {
        Some(Action::Beat { to, .. }) => to,
        other => panic!("no heartbeat: {other:?}"),
    };
    let receivers = targets(simulation.balancers[&name(1)].handle(at(0), Event::Tick));
    assert_eq!(receivers.len(), 16);
    for second in 0..6 {
        simulation.step(&row, second);
    }
    for index in (0..40).filter(|index| receivers.contains(&control(*index))) {
        let own = control(index);
        let to = targets(simulation.balancers[&name(index)].handle(at(6), Event::Tick));
        assert!(
            receivers
                .iter()
                .all(|other| *other == own || to.contains(other))
        );
    }
}
