use usher_agent::{Event, Settings};
use usher_config::RestoreWait;
use usher_types::{Incarnation, Packet, Peer, Roster, Span, Version};

use rand::Rng;

use super::Simulation;
use crate::agent_node::AgentNode;
use crate::backend::{RunRequest, StartResult};
use crate::balancer_node::BalancerNode;
use crate::effect::Effect;
use crate::machine::{Process, Role};
use crate::network::between;
use crate::scheduled_event::{MachineEvent, MachineName, RunResult, ScheduledEvent};

const LOOPBACK_DELAY: Span = Span::from_micros(50);
// Longer than the delay of the first store read, so that either may come first.
const MAX_PEER_DELAY: Span = Span::from_millis(200);

impl Simulation<'_> {
    /// Starts a new process on a machine.
    pub(super) fn start(&mut self, name: &str) {
        let seed = self.rng.random();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.incarnation += 1;
        machine.restart = false;
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
            restoring: false,
            restore_wait: RestoreWait::default(),
        });
        let delay = between(&mut self.rng, Span::ZERO, Span::from_millis(50));
        self.push_on(delay, name, MachineEvent::Poll);
        self.fetch_from_peer(name);
        if is_balancer {
            self.push_on(delay, name, MachineEvent::JoinFleet);
            self.advertised.push(name.to_owned());
        }
        self.execute_effects(name);
    }

    // A new process also reads the objects of a running one, which may be out of date itself.
    fn fetch_from_peer(&mut self, name: &str) {
        let others = self.machines.values().filter(|other| other.name != name);
        let running: Vec<_> = others.filter_map(|other| other.process.as_ref()).collect();
        if running.is_empty() {
            return;
        }
        let peer = running[self.rng.random_range(0..running.len())];
        let objects = peer.role.known();
        let delay = between(&mut self.rng, Span::ZERO, MAX_PEER_DELAY);
        self.push_on(delay, name, MachineEvent::PeerObjects(objects));
    }

    pub(super) fn on_machine(
        &mut self,
        name: MachineName,
        incarnation: u64,
        machine_event: MachineEvent,
    ) {
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        if machine.frozen_until > self.now {
            let until = machine.frozen_until;
            return self.push_at(
                until,
                ScheduledEvent::Machine(name, incarnation, machine_event),
            );
        }
        self.tally
            .trace_event(self.now, &name, machine_event.label());
        if machine_event.is_for_backend() {
            return self.on_backend(&name, machine_event);
        }
        if machine.process.is_none() || machine.incarnation != incarnation {
            return;
        }
        self.on_process(&name, machine_event);
        self.execute_effects(&name);
    }

    fn on_process(&mut self, name: &str, machine_event: MachineEvent) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let Some(process) = &mut machine.process else {
            return;
        };
        match machine_event {
            MachineEvent::Message(from, message) => process.role.handle_message(now, from, message),
            // Ignores a timer event that an earlier one replaced, or the events would multiply.
            MachineEvent::Timer if process.armed.is_some_and(|due| due <= self.now) => {
                process.armed = None;
                process.role.tick(now);
            }
            MachineEvent::Packet(packet) => {
                if let Some(balancer) = machine.balancer() {
                    balancer.forward_packet(packet);
                }
            }
            MachineEvent::Poll => self.poll(name),
            MachineEvent::PeerObjects(objects) => {
                let none = Version::default();
                self.adopt(name, none, none, objects);
            }
            MachineEvent::WriteAgain => self.write_again(name),
            MachineEvent::JoinFleet => self.join_fleet(name),
            MachineEvent::ReadRoster(proposal, unsettled) => {
                self.read_roster(name, &proposal, unsettled.as_deref());
            }
            MachineEvent::WriteRoster(write, roster) => {
                if !self.is_store_cut(name)
                    && let Ok(version) = self.store.put(write, &mut self.rng)
                {
                    self.note_removed(name, &roster);
                    let delay = self.network.delay();
                    self.push_on(
                        delay,
                        name,
                        MachineEvent::RosterWritten(Roster { version, ..roster }),
                    );
                    self.wake_watches();
                }
            }
            MachineEvent::RosterWritten(roster) => {
                if let Some(agent) = machine.agent() {
                    agent.roster_written(&roster);
                }
            }
            MachineEvent::BackendAnswer(id, result) => {
                let event = match result {
                    RunResult::Finished(outcome) => Event::Finished { id, outcome },
                    RunResult::Refused => Event::Refused(id),
                };
                if let Some(agent) = machine.agent() {
                    agent.handle_event(now, event);
                }
            }
            MachineEvent::Handover(call, from, handover) => {
                self.take_over(name, call, &from, handover);
            }
            MachineEvent::HandedOver(to, reply) => self.handed_over(name, &to, reply),
            MachineEvent::Timer | MachineEvent::StartRun(_) | MachineEvent::EndRun(_) => {}
        }
    }

    /// Executes the effects that a process requested and schedules its timer.
    pub(super) fn execute_effects(&mut self, name: &str) {
        let machine = &mut self.machines[name];
        let Some(process) = &mut machine.process else {
            return;
        };
        let effects = process.role.take_effects();
        for effect in effects {
            self.execute(name, effect);
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
                self.push_at(
                    due,
                    ScheduledEvent::Machine(name.to_owned(), incarnation, MachineEvent::Timer),
                );
            }
        }
    }

    fn finish(&mut self, name: &str) {
        self.collect_counts(name);
        let machine = &mut self.machines[name];
        machine.process = None;
        if machine.restart {
            self.start(name);
        }
    }

    fn execute(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let Some(receiver) = self.addresses.get(&to).cloned() else {
                    return;
                };
                let from = self.machines[name].address;
                for time in self.network.arrivals(self.now, name, &receiver) {
                    let incarnation = self.machines[&receiver].incarnation;
                    let machine_event = MachineEvent::Message(from, message.clone());
                    self.push_at(
                        time,
                        ScheduledEvent::Machine(receiver.clone(), incarnation, machine_event),
                    );
                }
            }
            Effect::Packet(packet) => {
                for time in self.network.arrivals(self.now, name, "callers") {
                    self.push_at(time, ScheduledEvent::CallerPacket(packet.clone()));
                }
            }
            Effect::Run(request) => {
                self.push_on(LOOPBACK_DELAY, name, MachineEvent::StartRun(request));
            }
            Effect::CancelRun(id) => {
                if let Some(backend) = self.backends.get_mut(name) {
                    backend.cancel(id);
                }
            }
            Effect::HandOver { to, handover } => self.hand_over(name, to.as_str(), handover),
            Effect::Propose {
                proposal,
                unsettled,
            } => {
                let delay = self.network.delay() + self.network.delay();
                let delay = delay + self.edit_delay(name, proposal.base);
                self.push_on(delay, name, MachineEvent::ReadRoster(proposal, unsettled));
            }
        }
    }

    /// Sends each packet to a random balancer, as the fabric does.
    pub(super) fn spray(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            if self.advertised.is_empty() {
                return;
            }
            for time in self.network.arrivals(self.now, "callers", "fabric") {
                let name = self.advertised[self.rng.random_range(0..self.advertised.len())].clone();
                let incarnation = self.machines[&name].incarnation;
                let machine_event = MachineEvent::Packet(packet.clone());
                self.push_at(
                    time,
                    ScheduledEvent::Machine(name, incarnation, machine_event),
                );
            }
        }
    }

    fn on_backend(&mut self, name: &str, machine_event: MachineEvent) {
        let Some(backend) = self.backends.get_mut(name) else {
            return;
        };
        let now = self.machines[name].clock.read(self.now);
        match machine_event {
            MachineEvent::StartRun(request) => match backend.start(now, &request) {
                StartResult::Refused => {
                    self.push_on(
                        LOOPBACK_DELAY,
                        name,
                        MachineEvent::BackendAnswer(request.id, RunResult::Refused),
                    );
                }
                StartResult::Failed(outcome) => {
                    let result = RunResult::Finished(outcome);
                    self.push_on(
                        LOOPBACK_DELAY,
                        name,
                        MachineEvent::BackendAnswer(request.id, result),
                    );
                }
                StartResult::Running(takes) => self.run_request(name, request, takes),
            },
            MachineEvent::EndRun(request) => {
                let outcome = backend.end(&request, self.settings.answer);
                let result = RunResult::Finished(outcome);
                self.push_on(
                    LOOPBACK_DELAY,
                    name,
                    MachineEvent::BackendAnswer(request.id, result),
                );
            }
            _ => {}
        }
    }

    fn run_request(&mut self, name: &str, request: RunRequest, takes: Span) {
        if let Ok(host) = name.parse() {
            self.callers
                .note_run(self.now, request.id, request.key, &host);
        }
        let takes = takes.scale(self.rng.random_range(0.5..1.5));
        self.push_on(takes, name, MachineEvent::EndRun(request));
    }
}
