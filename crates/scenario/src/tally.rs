use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use usher_config::{Object, ObjectKey, Report as InForce, Rollout, RolloutState};
use usher_types::{Incarnation, Peer, Span, Time, Version};

/// Counts and times of a run, other than those of the callers' requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Operator writes that failed because another write came first.
    pub(crate) conflicts: u64,
    /// Objects that reverted to an older version in a process.
    pub(crate) reverted: u64,
    /// Drained hosts and the start of each drain.
    pub(crate) drains: Vec<(String, Time)>,
    /// Event counters of the decision code and of operators by name.
    pub(crate) counts: BTreeMap<String, u64>,
    /// Hosts that another process removed from a roster.
    pub(crate) removed: HashSet<String>,
    // Accepted operator writes: version, time of the write and time since when it is in force.
    accepted: Vec<(Version, Time, Option<Time>)>,
    // Last version of each object in each process, by machine, incarnation and key.
    held: HashMap<(String, u64, ObjectKey), Version>,
    // Hash over all events of the run.
    trace: DefaultHasher,
}

impl Tally {
    /// Adds an event to the trace.
    pub(crate) fn trace_event(&mut self, now: Time, machine: &str, label: &str) {
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

    /// Records when each accepted write is in force in all live processes.
    pub(crate) fn note_revisions(&mut self, now: Time, live: &[(Peer, u64, Version)]) {
        let pending = self.accepted.iter_mut().filter(|entry| entry.2.is_none());
        for (version, _, in_force) in pending {
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

    /// Longest time in seconds from an accepted write until it was in force.
    pub(crate) fn in_force(&self, end: Time) -> f64 {
        let times = self.accepted.iter();
        let times = times.map(|(_, begin, in_force)| in_force.unwrap_or(end) - *begin);
        times.fold(Span::ZERO, Span::max).as_secs_f64()
    }

    /// Counts the objects of a process that reverted to an older version.
    pub(crate) fn note_objects(&mut self, machine: &str, incarnation: u64, objects: &[Object]) {
        for object in objects {
            let key = (machine.to_owned(), incarnation, object.key());
            let held = self.held.entry(key).or_default();
            self.reverted += u64::from(object.version < *held);
            *held = object.version;
        }
    }
}
