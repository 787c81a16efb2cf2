use usher_agent::{Event, Settings};
use usher_types::{Incarnation, Packet, Peer, Roster, Span, Version};

use rand::Rng;

use super::World;
use crate::agent_node::AgentNode;
use crate::backend::{Order, Start};
use crate::balancer_node::BalancerNode;
use crate::due::{Due, Local, Name, RunResult};
use crate::effect::Effect;
use crate::machine::{Process, Role};
use crate::network::between;

const LOOPBACK: Span = Span::from_micros(50);
// Longer than the first read of the store, so that either may come first.
const PEER_CALL: Span = Span::from_millis(200);

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
            Local::Handover(call, from, transfers) => self.take_over(name, call, &from, transfers),
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
            Effect::HandOver { to, transfers } => self.hand_over(name, to.as_str(), transfers),
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
}
