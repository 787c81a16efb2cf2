use std::net::{Ipv4Addr, SocketAddrV4};

use rand::Rng;
use usher_types::{FlowId, Peer, ServiceName, Span};

use super::World;
use crate::connection::Connection;
use crate::due::{Due, Ending};
use crate::fault::{BackendMode, Fault};

// The fabric notices a dead balancer after this time.
const WITHDRAWAL: Span = Span::from_secs(1);
const OPENING: Span = Span::from_millis(200);
const FIRST_CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const FIRST_PORT: u16 = 10_000;

impl World<'_> {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(peer) => self.kill(&name_of(&peer)),
            Fault::StartBalancer(peer) => self.add(&name_of(&peer), None),
            Fault::StartHost(host, service) => self.add(host.as_str(), Some(service)),
            Fault::Stop { host, again } => {
                if !again {
                    self.tally.drains.push((host.to_string(), self.now));
                }
                self.drain(host.as_str(), true, again);
            }
            Fault::Drain(host) => {
                self.tally.drains.push((host.to_string(), self.now));
                self.drain(host.as_str(), false, false);
            }
            Fault::Freeze(peer, span) => {
                let until = self.now + span;
                if let Some(machine) = self.machines.get_mut(&name_of(&peer)) {
                    machine.frozen = until;
                }
            }
            Fault::Cut(from, to, span) => self.network.cut(from, to, self.now + span),
            Fault::StoreDown(span) => {
                self.store.down = true;
                self.wake_watches();
                self.push(span, Due::End(Ending::StoreDown));
            }
            Fault::LoseAnswers(count) => self.store.lose_answers = count,
            Fault::StoreStale(span) => {
                self.store.set_stale(true);
                self.push(span, Due::End(Ending::StoreStale));
            }
            Fault::Set(profile, fields) => self.set_profile(&profile, &fields),
            Fault::Race(profile, fields) => self.race(&profile, &fields),
            Fault::Delete(profile) => self.delete_profile(&profile),
            Fault::Swap(first, second) => self.swap(&first, &second),
            Fault::Move(service, address) => self.move_service(&service, address),
            Fault::Backend(host, mode, span) => {
                self.set_backend(host.as_str(), mode);
                self.push(span, Due::End(Ending::Backend(host.to_string())));
            }
            Fault::Open(count, service) => self.open(count, &service),
            Fault::Setting(setting) => self.set(setting),
        }
    }

    pub(super) fn end(&mut self, ending: &Ending) {
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
            self.push(WITHDRAWAL, Due::Withdraw(name.to_owned()));
        }
    }

    fn add(&mut self, name: &str, service: Option<ServiceName>) {
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

    fn drain(&mut self, name: &str, stop: bool, again: bool) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.again = again;
        let now = machine.clock.read(self.now);
        if let Some(agent) = machine.agent() {
            agent.begin_drain(now, stop);
            self.settle(name);
        }
    }

    fn set_backend(&mut self, name: &str, mode: BackendMode) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.mode = mode;
        }
    }

    fn open(&mut self, count: usize, service: &ServiceName) {
        let cache = self.read_all();
        let Some(address) = cache.service(service).map(|entry| entry.address) else {
            return;
        };
        for _ in 0..count {
            let port = FIRST_PORT + self.caller.flows.len() as u16;
            let flow = FlowId {
                caller: SocketAddrV4::new(FIRST_CALLER, port),
                service: address,
                nonce: self.rng.random(),
            };
            let begin = self.now + crate::network::between(&mut self.rng, Span::ZERO, OPENING);
            let connection = Connection::new(begin, flow, service.clone());
            let number = self.caller.open(connection);
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
