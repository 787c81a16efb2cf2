use usher_agent::{Event, Settings};
use usher_config::{Condition, Kind, Object, ObjectKey, Value};
use usher_members::Proposal;
use usher_types::{Balancer, Fleet, Incarnation, Packet, Peer, Roster, Span, Time, Version};

use rand::Rng;

use super::{World, roster_key};
use crate::agent_node::AgentNode;
use crate::backend::{Order, Start};
use crate::balancer_node::BalancerNode;
use crate::due::{Due, Local, Name, RunResult};
use crate::effect::{Effect, Parcels, Taken};
use crate::machine::{Process, Role};
use crate::network::between;

const LOOPBACK: Span = Span::from_micros(50);
const WATCH_RETRY: Span = Span::from_millis(500);
const JOIN_RETRY: Span = Span::from_millis(300);
const CALL_TIMEOUT: Span = Span::from_secs(5);
// Longer than the first read of the store, so that either may come first.
const PEER_CALL: Span = Span::from_millis(200);
const CALL_RETRY: Span = Span::from_millis(300);

impl World<'_> {
    /// Starts a new process on a machine.
    pub(super) fn start(&mut self, name: &str) {
        let seed = self.rng.random();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.incarnation += 1;
        machine.again = false;
        let incarnation = Incarnation::new(machine.incarnation);
        let now = machine.clock.read(self.now);
        let (address, centre) = (machine.address, machine.centre.clone());
        let role = match (machine.peer(), &machine.service) {
            (Peer::Host(host), Some(service)) => {
                let spec = self
                    .scenario
                    .services
                    .iter()
                    .find(|spec| spec.name == *service);
                let settings = Settings {
                    host,
                    incarnation,
                    service: service.clone(),
                    address,
                    slots: spec.map(|spec| spec.slots).unwrap_or_default(),
                    policy: usher_admission::Policy::default(),
                };
                Role::Agent(Box::new(AgentNode::new(now, settings, centre, seed)))
            }
            (Peer::Instance(instance), _) => {
                let node = BalancerNode::new(instance, incarnation, address, centre, seed);
                Role::Balancer(Box::new(node))
            }
            (Peer::Host(_), None) => return,
        };
        let is_balancer = matches!(role, Role::Balancer(_));
        machine.process = Some(Process {
            role,
            armed: None,
            since: Version::default(),
            store_up: None,
            polling: true,
        });
        let delay = between(&mut self.rng, Span::ZERO, Span::from_millis(50));
        self.push_on(delay, name, Local::Poll);
        self.fetch_from_peer(name);
        if is_balancer {
            self.push_on(delay, name, Local::JoinFleet);
            self.spray.push(name.to_owned());
        }
        self.settle(name);
    }

    // A new process also asks one that is running, which may itself be behind.
    fn fetch_from_peer(&mut self, name: &str) {
        let others = self.machines.values().filter(|other| other.name != name);
        let running: Vec<_> = others.filter_map(|other| other.process.as_ref()).collect();
        if running.is_empty() {
            return;
        }
        let peer = running[self.rng.random_range(0..running.len())];
        let objects = peer.role.known();
        let delay = between(&mut self.rng, Span::ZERO, PEER_CALL);
        self.push_on(delay, name, Local::PeerObjects(objects));
    }

    pub(super) fn on_machine(&mut self, name: Name, incarnation: u64, local: Local) {
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        if machine.frozen > self.now {
            let thaw = machine.frozen;
            return self.push_at(thaw, Due::On(name, incarnation, local));
        }
        self.tally.note(self.now, &name, local.label());
        if local.is_of_backend() {
            return self.on_backend(&name, local);
        }
        if machine.process.is_none() || machine.incarnation != incarnation {
            return;
        }
        self.on_process(&name, local);
        self.settle(&name);
    }

    fn on_process(&mut self, name: &str, local: Local) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let Some(process) = &mut machine.process else {
            return;
        };
        match local {
            Local::Message(from, message) => process.role.message(now, from, message),
            // A timer that an earlier one replaced does nothing; else timers multiply.
            Local::Timer if process.armed.is_some_and(|due| due <= self.now) => {
                process.armed = None;
                process.role.tick(now);
            }
            Local::Packet(packet) => {
                if let Some(balancer) = machine.balancer() {
                    balancer.packet(packet);
                }
            }
            Local::Poll => self.poll(name),
            Local::PeerObjects(objects) => {
                let none = Version::default();
                self.adopt(name, none, none, objects);
            }
            Local::JoinFleet => self.join_fleet(name),
            Local::ReadRoster(proposal, unsettled) => {
                self.read_roster(name, &proposal, unsettled.as_deref());
            }
            Local::WriteRoster(write, roster) => {
                if !self.is_store_cut(name)
                    && let Ok(version) = self.store.put(write, &mut self.rng)
                {
                    self.note_removed(name, &roster);
                    let delay = self.network.delay();
                    self.push_on(delay, name, Local::Written(Roster { version, ..roster }));
                    self.wake_watches();
                }
            }
            Local::Written(roster) => {
                if let Some(agent) = machine.agent() {
                    agent.written(&roster);
                }
            }
            Local::Result(id, result) => {
                let event = match result {
                    RunResult::Finished(outcome) => Event::Finished { id, outcome },
                    RunResult::Refused => Event::Refused(id),
                };
                if let Some(agent) = machine.agent() {
                    agent.feed(now, event);
                }
            }
            Local::Handover(call, from, parcels) => self.take_over(name, call, &from, parcels),
            Local::HandedOver(to, taken) => self.handed_over(name, &to, taken),
            Local::Timer | Local::Start(_) | Local::EndRun(_) => {}
        }
    }

    /// Carries out what a process asked for and arms its timer.
    pub(super) fn settle(&mut self, name: &str) {
        let machine = &mut self.machines[name];
        let Some(process) = &mut machine.process else {
            return;
        };
        let effects = process.role.effects();
        for effect in effects {
            self.carry(name, effect);
        }
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        if machine.agent().is_some_and(|agent| agent.is_finished(now)) {
            return self.finish(name);
        }
        let clock = machine.clock;
        if let Some(process) = &mut machine.process
            && let Some(due) = process.role.next_timer()
        {
            let due = clock.when(due).max(self.now + Span::from_micros(1));
            if process.armed.is_none_or(|armed| due < armed) {
                process.armed = Some(due);
                let incarnation = machine.incarnation;
                self.push_at(due, Due::On(name.to_owned(), incarnation, Local::Timer));
            }
        }
    }

    fn finish(&mut self, name: &str) {
        self.collect_counts(name);
        let machine = &mut self.machines[name];
        machine.process = None;
        if machine.again {
            self.start(name);
        }
    }

    fn carry(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let Some(receiver) = self.addresses.get(&to).cloned() else {
                    return;
                };
                let from = self.machines[name].address;
                for time in self.network.arrivals(self.now, name, &receiver) {
                    let incarnation = self.machines[&receiver].incarnation;
                    let local = Local::Message(from, message.clone());
                    self.push_at(time, Due::On(receiver.clone(), incarnation, local));
                }
            }
            Effect::Packet(packet) => {
                for time in self.network.arrivals(self.now, name, "callers") {
                    self.push_at(time, Due::ToCaller(packet.clone()));
                }
            }
            Effect::Run(order) => self.push_on(LOOPBACK, name, Local::Start(order)),
            Effect::CancelRun(id) => {
                if let Some(backend) = self.backends.get_mut(name) {
                    backend.cancel(id);
                }
            }
            Effect::HandOver { to, parcels } => self.hand_over(name, to.as_str(), parcels),
            Effect::Propose {
                proposal,
                unsettled,
            } => {
                let delay = self.network.delay() + self.network.delay();
                self.push_on(delay, name, Local::ReadRoster(proposal, unsettled));
            }
        }
    }

    /// The fabric sends each packet to any balancer.
    pub(super) fn spray(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            if self.spray.is_empty() {
                return;
            }
            for time in self.network.arrivals(self.now, "callers", "fabric") {
                let name = self.spray[self.rng.random_range(0..self.spray.len())].clone();
                let incarnation = self.machines[&name].incarnation;
                let local = Local::Packet(packet.clone());
                self.push_at(time, Due::On(name, incarnation, local));
            }
        }
    }

    fn is_store_cut(&self, name: &str) -> bool {
        self.store.down || self.network.is_cut(self.now, name, "store")
    }

    fn poll(&mut self, name: &str) {
        let up = !self.is_store_cut(name);
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let Some(process) = &mut machine.process else {
            return;
        };
        process.polling = false;
        if process.store_up != Some(up) {
            process.store_up = Some(up);
            process.role.store(now, up);
        }
        if !up {
            process.polling = true;
            return self.push_on(WATCH_RETRY, name, Local::Poll);
        }
        let after = process.since;
        let (through, objects) = self.store.since(after, &mut self.rng);
        process.since = process.since.max(through);
        self.adopt(name, after, through, objects);
    }

    fn adopt(&mut self, name: &str, after: Version, through: Version, objects: Vec<Object>) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let incarnation = machine.incarnation;
        if let Some(process) = &mut machine.process {
            process.role.objects(now, after, through, objects);
            let known = process.role.known();
            self.tally.note_objects(name, incarnation, &known);
        }
        self.note_revisions();
    }

    /// Every watch answers after its own delay.
    pub(super) fn wake_watches(&mut self) {
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        for name in names {
            let (least, greatest) = self.settings.watch;
            let delay = between(&mut self.rng, least, greatest);
            if let Some(process) = &mut self.machines[&name].process
                && !process.polling
            {
                process.polling = true;
                self.push_on(delay, &name, Local::Poll);
            }
        }
    }

    fn join_fleet(&mut self, name: &str) {
        if self.is_store_cut(name) {
            return self.push_on(JOIN_RETRY, name, Local::JoinFleet);
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
        fleet.balancers.insert(instance, entry);
        let write = self.write(key, condition(current.as_ref()), Some(fleet.into()));
        match self.store.put(write, &mut self.rng) {
            Ok(_) => self.wake_watches(),
            Err(_) => self.push_on(JOIN_RETRY, name, Local::JoinFleet),
        }
    }

    fn read_roster(&mut self, name: &str, proposal: &Proposal, unsettled: Option<&[Version]>) {
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
        let Some(changed) = proposal.succeed(&roster, unsettled) else {
            return;
        };
        let value = Some(Value::Roster(changed.clone()));
        let write = self.write(key, condition(current.as_ref()), value);
        let delay = self.network.delay() + self.network.delay();
        self.push_on(delay, name, Local::WriteRoster(write, changed));
    }

    fn on_backend(&mut self, name: &str, local: Local) {
        let Some(backend) = self.backends.get_mut(name) else {
            return;
        };
        let now = self.machines[name].clock.read(self.now);
        match local {
            Local::Start(order) => match backend.start(now, &order) {
                Start::Refused => {
                    self.push_on(LOOPBACK, name, Local::Result(order.id, RunResult::Refused));
                }
                Start::Failed(outcome) => {
                    let result = RunResult::Finished(outcome);
                    self.push_on(LOOPBACK, name, Local::Result(order.id, result));
                }
                Start::Running(takes) => self.run_order(name, order, takes),
            },
            Local::EndRun(order) => {
                let outcome = backend.end(&order, self.settings.answer);
                let result = RunResult::Finished(outcome);
                self.push_on(LOOPBACK, name, Local::Result(order.id, result));
            }
            _ => {}
        }
    }

    fn run_order(&mut self, name: &str, order: Order, takes: Span) {
        if let Ok(host) = name.parse() {
            self.caller.note_run(self.now, order.id, order.key, &host);
        }
        let takes = takes.scale(self.rng.random_range(0.5..1.5));
        self.push_on(takes, name, Local::EndRun(order));
    }

    fn hand_over(&mut self, name: &str, to: &str, parcels: Parcels) {
        self.sequence += 1;
        let call = self.sequence;
        let incarnation = self.machines[name].incarnation;
        let entry = (name.to_owned(), incarnation, to.to_owned());
        self.handovers.insert(call, entry);
        self.push(CALL_TIMEOUT, Due::TimedOut(call));
        if !self.network.is_cut(self.now, name, to) {
            let delay = self.network.delay();
            self.push_on(delay, to, Local::Handover(call, name.to_owned(), parcels));
        }
    }

    fn take_over(&mut self, name: &str, call: u64, from: &str, parcels: Parcels) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let taken = machine
            .agent()
            .and_then(|agent| agent.take_over(now, parcels));
        if self.network.is_cut(self.now, name, from) {
            return;
        }
        // A sender that gave up takes no answer.
        if let Some((sender, incarnation, to)) = self.handovers.remove(&call) {
            let delay = match taken {
                Some(_) => self.network.delay(),
                None => CALL_RETRY,
            };
            let local = Local::HandedOver(to, taken);
            self.push(delay, Due::On(sender, incarnation, local));
        }
    }

    fn handed_over(&mut self, name: &str, to: &str, taken: Option<Taken>) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let (Some(agent), Ok(host)) = (machine.agent(), to.parse()) else {
            return;
        };
        let event = match taken {
            Some(Taken::Flows(flows)) => Event::FlowsTaken {
                to: host,
                flows: Some(flows),
            },
            Some(Taken::Records(roster)) => Event::RecordsTaken { from: host, roster },
            None => Event::FlowsTaken {
                to: host,
                flows: None,
            },
        };
        agent.feed(now, event);
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

// A tombstone is replaced on condition of its version, like a value.
fn condition(current: Option<&Object>) -> Condition {
    current.map_or(Condition::Absent, |object| {
        Condition::Version(object.version)
    })
}
