use std::collections::BTreeMap;

use rand::Rng;
use usher_config::{Answer, Condition, Object, ObjectKey, Pending, Rank, Step, Write};
use usher_types::{Era, Version};

// Steps of one write after which its result counts as unknown.
const MAX_STEPS: usize = 8;

/// Reason why a conditional write failed or has an unknown result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Another write changed the object first.
    Conflict,
    /// The result of the write remained unknown.
    NoAnswer,
}

/// Fake of the platform's store with injected faults.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    pub(crate) lose_answers: u32,
    last: Version,
    objects: BTreeMap<ObjectKey, Object>,
    // State of a stale replica; half of the reads see it.
    replica: Option<(Version, BTreeMap<ObjectKey, Object>)>,
    copy: (Version, BTreeMap<ObjectKey, Object>),
}

impl Store {
    /// Begins or ends a time in which half of the reads see the state at its start.
    pub(crate) fn set_stale(&mut self, stale: bool) {
        self.replica = stale.then(|| (self.last, self.objects.clone()));
    }

    /// Number of restores.
    pub(crate) fn era(&self) -> Era {
        self.last.era()
    }

    /// Keeps a copy of all objects.
    pub(crate) fn keep_copy(&mut self) {
        self.copy = (self.last, self.objects.clone());
    }

    /// Goes back to the copy kept last; its revisions are given out again, in the next era.
    pub(crate) fn restore(&mut self) {
        let era = Era::new(self.era().get() + 1);
        let (last, objects) = self.copy.clone();
        self.last = last.in_era(era);
        self.objects = objects;
        for object in self.objects.values_mut() {
            object.position = object.position.in_era(era);
        }
        self.replica = None;
    }

    pub(crate) fn get(&self, key: &ObjectKey, rng: &mut impl Rng) -> Option<Object> {
        self.view(rng).1.get(key).cloned()
    }

    /// Current state of an object, whether or not a replica is stale.
    pub(crate) fn latest(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Objects above `position`, and the position up to which they are complete.
    pub(crate) fn since(&self, position: Version, rng: &mut impl Rng) -> (Version, Vec<Object>) {
        let (last, objects) = self.view(rng);
        let newer = objects.values().filter(|object| object.position > position);
        (last, newer.cloned().collect())
    }

    /// Writes an object and resolves lost answers as the platform client does.
    pub(crate) fn put(&mut self, write: Write, rng: &mut impl Rng) -> Result<Version, Failure> {
        let mut pending = Pending::new(write);
        for _ in 0..MAX_STEPS {
            let answer = self.transmit(pending.write());
            let step = match pending.answered(answer) {
                Step::ReadBack(lost) => {
                    let read = self.get(&lost.write().change.key, rng);
                    lost.read(read)
                }
                step => step,
            };
            match step {
                Step::Done(version) => return Ok(version),
                Step::Conflict(_) => return Err(Failure::Conflict),
                Step::Retry(retry) => pending = retry,
                Step::ReadBack(_) | Step::Restored(_) => break,
            }
        }
        Err(Failure::NoAnswer)
    }

    fn view(&self, rng: &mut impl Rng) -> (Version, &BTreeMap<ObjectKey, Object>) {
        match &self.replica {
            Some((last, objects)) if rng.random_bool(0.5) => (*last, objects),
            _ => (self.last, &self.objects),
        }
    }

    fn transmit(&mut self, write: &Write) -> Answer {
        let change = &write.change;
        let current = self.objects.get(&change.key);
        let holds = match change.condition {
            Condition::Absent => current.is_none_or(|object| object.value.is_none()),
            Condition::Version(position) => {
                current.is_some_and(|object| object.position.get() == position.get())
            }
        };
        if !holds {
            return Answer::Refused(current.cloned());
        }
        self.last = self.last.next();
        let object = Object {
            kind: change.key.kind,
            name: change.key.name.clone(),
            version: match write.rank {
                Rank::Newest(era) => self.last.in_era(era),
                Rank::Kept(version) => version,
            },
            position: self.last,
            write_id: write.id,
            value: change.value.clone(),
        };
        self.objects.insert(change.key.clone(), object);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Answer::Lost;
        }
        Answer::Written(self.last)
    }
}
