use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use usher_config::{Object, ObjectKey, Report as InForce, Rollout, RolloutState};
use usher_types::{Incarnation, Peer, Span, Time, Version};

/// What a run counts apart from the callers' requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) conflicts: u64,
    pub(crate) reverted: u64,
    pub(crate) drains: Vec<(String, Time)>,
    pub(crate) counts: BTreeMap<String, u64>,
    pub(crate) removed: HashSet<String>,
    accepted: Vec<(Version, Time, Option<Time>)>,
    held: HashMap<(String, u64, ObjectKey), Version>,
    trace: DefaultHasher,
}

impl Tally {
    pub(crate) fn note(&mut self, now: Time, machine: &str, label: &str) {
        (now.as_micros(), machine, label).hash(&mut self.trace);
    }

    pub(crate) fn trace(&self) -> u64 {
        self.trace.finish()
    }

    pub(crate) fn accept(&mut self, version: Version, now: Time) {
        self.accepted.push((version, now, None));
    }

    pub(crate) fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Notes which revision each live process has in force.
    pub(crate) fn note_revisions(&mut self, now: Time, live: &[(Peer, u64, Version)]) {
        let open = self.accepted.iter_mut().filter(|entry| entry.2.is_none());
        for (version, _, in_force) in open {
            let mut rollout = Rollout::new(*version);
            for (peer, incarnation, revision) in live {
                rollout.report(InForce {
                    peer: peer.clone(),
                    incarnation: Incarnation::new(*incarnation),
                    revision: *revision,
                });
            }
            if rollout.state() == RolloutState::InForce {
                *in_force = Some(now);
            }
        }
    }

    /// Longest time until an accepted write was in force, in seconds.
    pub(crate) fn in_force(&self, end: Time) -> f64 {
        let times = self.accepted.iter();
        let times = times.map(|(_, begin, in_force)| in_force.unwrap_or(end) - *begin);
        times.fold(Span::ZERO, Span::max).as_secs_f64()
    }

    /// Counts objects of a process that went back to an older version.
    pub(crate) fn note_objects(&mut self, machine: &str, incarnation: u64, objects: &[Object]) {
        for object in objects {
            let key = (machine.to_owned(), incarnation, object.key());
            let held = self.held.entry(key).or_default();
            self.reverted += u64::from(object.version < *held);
            *held = object.version;
        }
    }
}
