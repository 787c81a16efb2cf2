use usher_config::{Condition, Kind, Object, ObjectKey, Value};
use usher_members::Proposal;
use usher_types::{Balancer, Fleet, Incarnation, Peer, Roster, Span, Time, Version};

use super::{Simulation, roster_key};
use crate::network::between;
use crate::scheduled_event::{MachineEvent, MachineName};

const WATCH_RETRY_DELAY: Span = Span::from_millis(500);
const JOIN_RETRY_DELAY: Span = Span::from_millis(300);

// Access of processes to the store: watches, fleet entries and roster writes.

impl Simulation<'_> {
    pub(super) fn is_store_cut(&self, name: &str) -> bool {
        self.store.down || self.network.is_cut(self.now, name, "store")
    }

    pub(super) fn poll(&mut self, name: &str) {
        let up = !self.is_store_cut(name);
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let Some(process) = &mut machine.process else {
            return;
        };
        process.polling = false;
        if process.store_up != Some(up) {
            process.store_up = Some(up);
            process.role.set_store_up(now, up);
        }
        if !up {
            process.polling = true;
            return self.push_on(WATCH_RETRY_DELAY, name, MachineEvent::Poll);
        }
        // A watch of an earlier era is refused, and everything is read.
        let after = match process.since {
            since if since.era() < self.store.era() => Version::default(),
            since => since,
        };
        let (through, objects) = self.store.since(after, &mut self.rng);
        process.since = process.since.max(through);
        self.adopt(name, after, through, objects);
    }

    pub(super) fn adopt(
        &mut self,
        name: &str,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let incarnation = machine.incarnation;
        if let Some(process) = &mut machine.process {
            process.role.adopt_objects(now, after, through, objects);
            let era = process.role.cache().complete().era();
            process.restore_wait.observe(now, era);
            let known = process.role.known();
            self.tally.note_objects(name, incarnation, &known);
        }
        self.begin_restore(name);
        self.note_revisions();
    }

    /// Schedules a poll of every process after a random delay of its own.
    pub(super) fn wake_watches(&mut self) {
        let names: Vec<MachineName> = self.machines.keys().cloned().collect();
        for name in names {
            let (least, greatest) = self.settings.watch;
            let delay = between(&mut self.rng, least, greatest);
            if let Some(process) = &mut self.machines[&name].process
                && !process.polling
            {
                process.polling = true;
                self.push_on(delay, &name, MachineEvent::Poll);
            }
        }
    }

    pub(super) fn join_fleet(&mut self, name: &str) {
        if self.is_store_cut(name) {
            return self.push_on(JOIN_RETRY_DELAY, name, MachineEvent::JoinFleet);
        }
        let machine = &self.machines[name];
        let Peer::Instance(instance) = machine.peer() else {
            return;
        };
        let entry = Balancer {
            incarnation: Incarnation::new(machine.incarnation),
            control: machine.address,
            admin: machine.address,
        };
        let key = ObjectKey::new(Kind::Fleet, (&machine.centre).into());
        let current = self.store.get(&key, &mut self.rng);
        let mut fleet = match current.as_ref().and_then(|object| object.value.clone()) {
            Some(Value::Fleet(fleet)) => fleet,
            _ => Fleet::default(),
        };
        let version = current
            .as_ref()
            .map_or_else(Version::default, |object| object.version);
        if self.is_older_fleet(name, &key, version) {
            return self.push_on(JOIN_RETRY_DELAY, name, MachineEvent::JoinFleet);
        }
        fleet.balancers.insert(instance, entry);
        let write = self.write(key, condition(current.as_ref()), Some(fleet.into()));
        match self.store.put(write, &mut self.rng) {
            Ok(_) => self.wake_watches(),
            Err(_) => self.push_on(JOIN_RETRY_DELAY, name, MachineEvent::JoinFleet),
        }
    }

    // Whether the fleet may be an older one of a restored store.
    fn is_older_fleet(&mut self, name: &str, key: &ObjectKey, version: Version) -> bool {
        let era = self.store.era();
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let Some(process) = &mut machine.process else {
            return false;
        };
        process.restore_wait.observe(now, era);
        let known = process.role.cache().get(key);
        known.is_some_and(|known| known.version > version)
            || process.restore_wait.before_edit(now, version) > Span::ZERO
    }

    pub(super) fn read_roster(
        &mut self,
        name: &str,
        proposal: &Proposal,
        unsettled: Option<&[Version]>,
    ) {
        if self.is_store_cut(name) {
            return;
        }
        let key = roster_key(&proposal.service);
        let current = self.store.get(&key, &mut self.rng);
        let mut roster = match current.as_ref().and_then(|object| object.value.clone()) {
            Some(Value::Roster(roster)) => roster,
            _ => Roster::default(),
        };
        let version = current.as_ref().map(|object| object.version);
        roster.version = version.unwrap_or_default();
        let Some(changed) = proposal.apply_with_history(&roster, unsettled) else {
            return;
        };
        let value = Some(Value::Roster(changed.clone()));
        let write = self.write(key, condition(current.as_ref()), value);
        let delay = self.network.delay() + self.network.delay();
        self.push_on(delay, name, MachineEvent::WriteRoster(write, changed));
    }

    pub(super) fn note_revisions(&mut self) {
        let now: Time = self.now;
        let live: Vec<(Peer, u64, Version)> = self
            .machines
            .values()
            .filter_map(|machine| {
                let revision = machine.process.as_ref()?.role.revision()?;
                Some((machine.peer(), machine.incarnation, revision))
            })
            .collect();
        self.tally.note_revisions(now, &live);
    }
}

// The condition on a tombstone is its position, as for an object with a value.
fn condition(current: Option<&Object>) -> Condition {
    current.map_or(Condition::Absent, |object| {
        Condition::Version(object.position)
    })
}
