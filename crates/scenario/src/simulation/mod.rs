mod execute;
mod handover;
mod inject;
mod measure;
mod operator;
mod restore;
mod watch;

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_config::{Cache, Condition, Kind, ObjectKey, Value, Write, WriteId};
use usher_types::{
    Buckets, DataCentre, Profile, RequestKey, Service, ServiceName, Span, Time, Version,
};

use crate::backend::Backend;
use crate::callers::Callers;
use crate::clock::Clock;
use crate::fault::Setting;
use crate::machine::Machine;
use crate::network::{Network, between};
use crate::scheduled_event::{MachineEvent, MachineName, ScheduledEvent};
use crate::store::Store;
use crate::tally::Tally;
use crate::{Report, Scenario};

/// Time for all processes to join before time 0 of the scenario.
const WARM_UP: Span = Span::from_secs(20);
/// Time after the run in which open requests may still be answered.
const GRACE_PERIOD: Span = Span::from_secs(15);
const BUCKETS: Buckets = Buckets::new(64);
const MAX_EVENTS: u64 = 1_000_000;
const FIRST_PORT: u16 = 7_000;

/// One run: the processes, the fakes around them and the event queue.
#[derive(Debug)]
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Time,
    rng: Pcg64,
    // Scheduled events by time and order of scheduling.
    queue: BTreeMap<(Time, u64), ScheduledEvent>,
    sequence: u64,
    network: Network,
    store: Store,
    machines: IndexMap<MachineName, Machine>,
    addresses: HashMap<SocketAddrV4, MachineName>,
    backends: HashMap<MachineName, Backend>,
    // Balancers that the fabric sends packets to; a dead one stays until it is withdrawn.
    advertised: Vec<MachineName>,
    callers: Callers,
    tally: Tally,
    // Unanswered handovers by call number: sender, its incarnation and receiver.
    handovers: HashMap<u64, (MachineName, u64, MachineName)>,
    settings: Settings,
}

#[derive(Debug)]
struct Settings {
    watch: (Span, Span),
    twice: f64,
    resend: Option<(Span, u16)>,
    answer: usize,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let network = Network::new(rng.random());
        let mut simulation = Self {
            scenario,
            seed,
            now: Time::ZERO,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
            network,
            store: Store::default(),
            machines: IndexMap::new(),
            addresses: HashMap::new(),
            backends: HashMap::new(),
            advertised: Vec::new(),
            callers: Callers::default(),
            tally: Tally::default(),
            handovers: HashMap::new(),
            settings: Settings {
                watch: (Span::from_millis(1), Span::from_millis(20)),
                twice: 0.0,
                resend: None,
                answer: 32,
            },
        };
        simulation.set_up();
        simulation
    }

    pub(crate) fn run(mut self) -> Report {
        let end = Time::ZERO + WARM_UP + self.scenario.run + GRACE_PERIOD;
        let mut events = 0;
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if time > end {
                break;
            }
            events += 1;
            assert!(
                events < MAX_EVENTS,
                "run reached {MAX_EVENTS} events at {time}: {event:?}"
            );
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = end;
        self.report()
    }

    fn set_up(&mut self) {
        let scenario = self.scenario;
        for spec in &scenario.services {
            self.declare(&spec.name, &spec.profile);
            for number in 1..=spec.hosts {
                let name = format!("{}-{number}", spec.name);
                self.add_machine(name.clone(), spec.centre.clone(), Some(spec.name.clone()));
                self.start(&name);
            }
        }
        if let Some((count, centre)) = &scenario.balancers {
            for number in 1..=*count {
                let name = format!("entry-{number}");
                self.add_machine(name.clone(), centre.clone(), None);
                self.start(&name);
            }
        }
        for (time, fault) in &scenario.faults {
            self.push(WARM_UP + *time, ScheduledEvent::Fault(fault.clone()));
        }
        for (number, load) in scenario.loads.iter().enumerate() {
            self.push(WARM_UP + load.every, ScheduledEvent::Request(number));
        }
    }

    // Writes a service and its profile to the store, as an operator does before the run.
    fn declare(&mut self, name: &ServiceName, profile: &usher_types::ProfileName) {
        let values = [
            Value::from(Profile {
                buckets: BUCKETS,
                ..Profile::default()
            }),
            Value::from(Service {
                address: self.service_address(name),
                profile: profile.clone(),
                generation: usher_types::Generation::new(1),
            }),
        ];
        for (object, value) in [profile.into(), name.into()].into_iter().zip(values) {
            let write = self.write(
                ObjectKey::new(value.kind(), object),
                Condition::Absent,
                Some(value),
            );
            // The write of a profile fails if an earlier service uses it too.
            let _result = self.store.put(write, &mut self.rng);
        }
    }

    fn service_address(&self, name: &ServiceName) -> SocketAddrV4 {
        let services = &self.scenario.services;
        let number = services.iter().position(|spec| spec.name == *name);
        SocketAddrV4::new(
            Ipv4Addr::new(192, 0, 2, number.unwrap_or_default() as u8 + 1),
            80,
        )
    }

    fn write(&mut self, key: ObjectKey, condition: Condition, value: Option<Value>) -> Write {
        let id = WriteId::new(self.rng.random());
        let change = usher_config::Change {
            key,
            condition,
            value,
        };
        Write::new(id, change, self.store.era())
    }

    fn add_machine(&mut self, name: MachineName, centre: DataCentre, service: Option<ServiceName>) {
        let port = FIRST_PORT + self.machines.len() as u16;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let origin = between(&mut self.rng, Span::ZERO, Span::from_secs(1_000));
        let drift = self.rng.random_range(-4_000..4_000);
        if let Some(service) = &service {
            let spec = self
                .scenario
                .services
                .iter()
                .find(|spec| spec.name == *service);
            let slots = spec.map(|spec| spec.slots).unwrap_or_default();
            self.backends
                .insert(name.clone(), Backend::new(service.clone(), slots));
        }
        self.addresses.insert(address, name.clone());
        let machine = Machine {
            name: name.clone(),
            address,
            centre,
            service,
            clock: Clock::new(Time::ZERO + origin, drift),
            frozen_until: Time::ZERO,
            incarnation: 0,
            process: None,
            restart: false,
        };
        self.machines.insert(name, machine);
    }

    fn push(&mut self, after: Span, event: ScheduledEvent) {
        self.push_at(self.now + after, event);
    }

    fn push_at(&mut self, time: Time, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue
            .insert((time.max(self.now), self.sequence), event);
    }

    fn push_on(&mut self, after: Span, name: &str, machine_event: MachineEvent) {
        let incarnation = self
            .machines
            .get(name)
            .map_or(0, |machine| machine.incarnation);
        self.push(
            after,
            ScheduledEvent::Machine(name.to_owned(), incarnation, machine_event),
        );
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Machine(name, incarnation, machine_event) => {
                self.on_machine(name, incarnation, machine_event);
            }
            ScheduledEvent::CallerPacket(packet) => {
                let number = self.callers.position(&packet.flow);
                let packets = self.callers.receive(self.now, packet, self.settings.answer);
                self.spray(packets);
                if let Some(number) = number {
                    self.arm_caller(number);
                }
            }
            ScheduledEvent::HandoverTimeout(call) => {
                if let Some((name, incarnation, to)) = self.handovers.remove(&call) {
                    let machine_event = MachineEvent::HandedOver(to, None);
                    self.push(
                        Span::ZERO,
                        ScheduledEvent::Machine(name, incarnation, machine_event),
                    );
                }
            }
            ScheduledEvent::Fault(fault) => self.inject(fault),
            ScheduledEvent::EndFault(ending) => self.end_fault(&ending),
            ScheduledEvent::OperatorWrites(writes) => self.write_as_operator(writes),
            ScheduledEvent::Request(load) => self.request(load),
            ScheduledEvent::CallerTimer(number) => {
                let flow = &mut self.callers.flows[number];
                if flow.next_timer().is_some_and(|due| due <= self.now) {
                    let packets = flow.tick(self.now);
                    self.spray(packets);
                    self.arm_caller(number);
                }
            }
            ScheduledEvent::Resend(key) => self.resend(key),
            ScheduledEvent::Withdraw(name) => self.advertised.retain(|other| *other != name),
        }
    }

    fn request(&mut self, number: usize) {
        let load = self.scenario.loads[number].clone();
        if self.now + load.every <= Time::ZERO + WARM_UP + self.scenario.run {
            self.push(load.every, ScheduledEvent::Request(number));
        }
        let open_flows = self.callers.open_flows(&load);
        if open_flows.is_empty() {
            return;
        }
        let key = RequestKey::new(self.rng.random());
        self.callers.track(self.now, key, load);
        let flow = open_flows[self.rng.random_range(0..open_flows.len())];
        self.transmit(key, flow);
        if self.rng.random_bool(self.settings.twice) {
            let flow = open_flows[self.rng.random_range(0..open_flows.len())];
            self.transmit(key, flow);
        }
        if let Some((after, _)) = self.settings.resend {
            self.push(after, ScheduledEvent::Resend(key));
        }
    }

    fn resend(&mut self, key: RequestKey) {
        let Some((after, attempts)) = self.settings.resend else {
            return;
        };
        let Some(tracked) = self.callers.requests.get_mut(&key) else {
            return;
        };
        if tracked.is_answered() || tracked.attempts >= attempts {
            return;
        }
        tracked.attempts += 1;
        let load = tracked.load.clone();
        let open_flows = self.callers.open_flows(&load);
        let flow = open_flows[self.rng.random_range(0..open_flows.len())];
        self.transmit(key, flow);
        self.push(after, ScheduledEvent::Resend(key));
    }

    fn transmit(&mut self, key: RequestKey, flow: usize) {
        let packets = self.callers.send(self.now, key, flow);
        self.spray(packets);
        self.arm_caller(flow);
    }

    fn arm_caller(&mut self, number: usize) {
        if let Some(due) = self.callers.flows[number].next_timer() {
            self.push_at(due, ScheduledEvent::CallerTimer(number));
        }
    }

    fn set(&mut self, setting: Setting) {
        match setting {
            Setting::Watch(least, greatest) => self.settings.watch = (least, greatest),
            Setting::Twice(share) => self.settings.twice = share,
            Setting::Resend(after, attempts) => self.settings.resend = Some((after, attempts)),
            Setting::Answer(length) => self.settings.answer = length,
            other => self.network.set(other),
        }
    }

    /// All objects of the store, as an operator reads them.
    fn read_all(&mut self) -> Cache {
        let (through, objects) = self.store.since(Version::default(), &mut self.rng);
        let mut cache = Cache::default();
        cache.apply_since(Version::default(), through, objects);
        cache
    }
}

/// Key of a service's roster.
fn roster_key(service: &ServiceName) -> ObjectKey {
    ObjectKey::new(Kind::Roster, service.into())
}
