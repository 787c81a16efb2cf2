use std::net::{Ipv4Addr, SocketAddrV4};

use rand::Rng;
use usher_types::{FlowId, Peer, ServiceName, Span};

use super::Simulation;
use crate::connection::Connection;
use crate::fault::{BackendMode, Fault};
use crate::scheduled_event::{Ending, ScheduledEvent};

// Time until the fabric detects that a balancer is dead.
const WITHDRAWAL_DELAY: Span = Span::from_secs(1);
// Flows that are opened together send their first packets within this time.
const MAX_OPENING_DELAY: Span = Span::from_millis(200);
const FIRST_CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const FIRST_PORT: u16 = 10_000;

impl Simulation<'_> {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(peer) => self.kill(&name_of(&peer)),
            Fault::StartBalancer(peer) => self.start_machine(&name_of(&peer), None),
            Fault::StartHost(host, service) => self.start_machine(host.as_str(), Some(service)),
            Fault::Stop { host, restart } => {
                if !restart {
                    self.tally.drains.push((host.to_string(), self.now));
                }
                self.drain(host.as_str(), true, restart);
            }
            Fault::Drain(host) => {
                self.tally.drains.push((host.to_string(), self.now));
                self.drain(host.as_str(), false, false);
            }
            Fault::Freeze(peer, span) => {
                let until = self.now + span;
                if let Some(machine) = self.machines.get_mut(&name_of(&peer)) {
                    machine.frozen_until = until;
                }
            }
            Fault::Cut(from, to, span) => self.network.cut(from, to, self.now + span),
            Fault::StoreDown(span) => {
                self.store.down = true;
                self.wake_watches();
                self.push(span, ScheduledEvent::EndFault(Ending::StoreDown));
            }
            Fault::LoseAnswers(count) => self.store.lose_answers = count,
            Fault::StoreStale(span) => {
                self.store.set_stale(true);
                self.push(span, ScheduledEvent::EndFault(Ending::StoreStale));
            }
            Fault::CopyStore => self.store.keep_copy(),
            Fault::RestoreStore => {
                self.store.restore();
                self.wake_watches();
            }
            Fault::SetProfile(profile, fields) => self.set_profile(&profile, &fields),
            Fault::RaceProfile(profile, fields) => self.race_profile(&profile, &fields),
            Fault::DeleteProfile(profile) => self.delete_profile(&profile),
            Fault::Swap(first, second) => self.swap_addresses(&first, &second),
            Fault::MoveService(service, address) => self.move_service(&service, address),
            Fault::Backend(host, mode, span) => {
                self.set_backend(host.as_str(), mode);
                self.push(
                    span,
                    ScheduledEvent::EndFault(Ending::Backend(host.to_string())),
                );
            }
            Fault::OpenFlows(count, service) => self.open_flows(count, &service),
            Fault::Setting(setting) => self.set(setting),
        }
    }

    pub(super) fn end_fault(&mut self, ending: &Ending) {
        match ending {
            Ending::StoreDown => self.store.down = false,
            Ending::StoreStale => {
                self.store.set_stale(false);
                self.wake_watches();
            }
            Ending::Backend(host) => self.set_backend(host, BackendMode::Up),
        }
    }

    fn kill(&mut self, name: &str) {
        self.collect_counts(name);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.process = None;
            self.backends.remove(name);
            self.push(WITHDRAWAL_DELAY, ScheduledEvent::Withdraw(name.to_owned()));
        }
    }

    fn start_machine(&mut self, name: &str, service: Option<ServiceName>) {
        if !self.machines.contains_key(name) {
            let specs = &self.scenario.services;
            let spec = specs
                .iter()
                .find(|spec| Some(&spec.name) == service.as_ref());
            let balancers = self.scenario.balancers.as_ref();
            let centre = spec
                .map(|spec| &spec.centre)
                .or(balancers.map(|(_, centre)| centre))
                .cloned();
            let Some(centre) = centre else { return };
            self.add_machine(name.to_owned(), centre, service);
        }
        self.start(name);
    }

    fn drain(&mut self, name: &str, stop: bool, restart: bool) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.restart = restart;
        let now = machine.clock.read(self.now);
        if let Some(agent) = machine.agent() {
            agent.begin_drain(now, stop);
            self.execute_effects(name);
        }
    }

    fn set_backend(&mut self, name: &str, mode: BackendMode) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.mode = mode;
        }
    }

    fn open_flows(&mut self, count: usize, service: &ServiceName) {
        let cache = self.read_all();
        let Some(address) = cache.service(service).map(|entry| entry.address) else {
            return;
        };
        for _ in 0..count {
            let port = FIRST_PORT + self.callers.flows.len() as u16;
            let flow = FlowId {
                caller: SocketAddrV4::new(FIRST_CALLER, port),
                service: address,
                nonce: self.rng.random(),
            };
            let begin =
                self.now + crate::network::between(&mut self.rng, Span::ZERO, MAX_OPENING_DELAY);
            let connection = Connection::new(begin, flow, service.clone());
            let number = self.callers.open(connection);
            self.arm_caller(number);
        }
    }
}

/// Name of the machine that a process runs on.
pub(super) fn name_of(peer: &Peer) -> String {
    match peer {
        Peer::Host(host) => host.to_string(),
        Peer::Instance(instance) => instance.to_string(),
    }
}
