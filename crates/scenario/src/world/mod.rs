mod carry;
mod handover;
mod inject;
mod measure;
mod operate;
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
use crate::caller::Caller;
use crate::clock::Clock;
use crate::due::{Due, Local, Name};
use crate::fault::Setting;
use crate::machine::Machine;
use crate::network::{Network, between};
use crate::store::Store;
use crate::tally::Tally;
use crate::{Report, Scenario};

/// Processes join before the scenario's time 0.
const WARM_UP: Span = Span::from_secs(20);
/// Requests that are open at the end of the run may still be answered.
const GRACE: Span = Span::from_secs(15);
const BUCKETS: Buckets = Buckets::new(64);
const MAX_EVENTS: u64 = 1_000_000;
const FIRST_PORT: u16 = 7_000;

/// One run: the processes, the fakes around them and what is due.
#[derive(Debug)]
pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Time,
    rng: Pcg64,
    queue: BTreeMap<(Time, u64), Due>,
    sequence: u64,
    network: Network,
    store: Store,
    machines: IndexMap<Name, Machine>,
    addresses: HashMap<SocketAddrV4, Name>,
    backends: HashMap<Name, Backend>,
    // Balancers that the fabric sends packets to.
    spray: Vec<Name>,
    caller: Caller,
    tally: Tally,
    // Handovers whose sender still waits.
    handovers: HashMap<u64, (Name, u64, Name)>,
    settings: Settings,
}

#[derive(Debug)]
struct Settings {
    watch: (Span, Span),
    twice: f64,
    resend: Option<(Span, u16)>,
    answer: usize,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let network = Network::new(rng.random());
        let mut world = Self {
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
            spray: Vec::new(),
            caller: Caller::default(),
            tally: Tally::default(),
            handovers: HashMap::new(),
            settings: Settings {
                watch: (Span::from_millis(1), Span::from_millis(20)),
                twice: 0.0,
                resend: None,
                answer: 32,
            },
        };
        world.set_up();
        world
    }

    pub(crate) fn run(mut self) -> Report {
        let end = Time::ZERO + WARM_UP + self.scenario.run + GRACE;
        let mut events = 0;
        while let Some(((time, _), due)) = self.queue.pop_first() {
            if time > end {
                break;
            }
            events += 1;
            assert!(events < MAX_EVENTS, "no end at {time}: {due:?}");
            self.now = self.now.max(time);
            self.handle(due);
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
            self.push(WARM_UP + *time, Due::Fault(fault.clone()));
        }
        for (number, load) in scenario.loads.iter().enumerate() {
            self.push(WARM_UP + load.every, Due::Request(number));
        }
    }

    // Writes a service and its profile as an operator did before the run.
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
            // A profile that an earlier service uses too is there already.
            let _exists = self.store.put(write, &mut self.rng);
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
        Write { id, change }
    }

    fn add_machine(&mut self, name: Name, centre: DataCentre, service: Option<ServiceName>) {
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
            frozen: Time::ZERO,
            incarnation: 0,
            process: None,
            again: false,
        };
        self.machines.insert(name, machine);
    }

    fn push(&mut self, after: Span, due: Due) {
        self.push_at(self.now + after, due);
    }

    fn push_at(&mut self, time: Time, due: Due) {
        self.sequence += 1;
        self.queue.insert((time.max(self.now), self.sequence), due);
    }

    fn push_on(&mut self, after: Span, name: &str, local: Local) {
        let incarnation = self
            .machines
            .get(name)
            .map_or(0, |machine| machine.incarnation);
        self.push(after, Due::On(name.to_owned(), incarnation, local));
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::On(name, incarnation, local) => self.on_machine(name, incarnation, local),
            Due::ToCaller(packet) => {
                let number = self.caller.number(&packet.flow);
                let packets = self.caller.receive(self.now, packet, self.settings.answer);
                self.spray(packets);
                if let Some(number) = number {
                    self.arm_caller(number);
                }
            }
            Due::TimedOut(call) => {
                if let Some((name, incarnation, to)) = self.handovers.remove(&call) {
                    let local = Local::HandedOver(to, None);
                    self.push(Span::ZERO, Due::On(name, incarnation, local));
                }
            }
            Due::Fault(fault) => self.inject(fault),
            Due::End(ending) => self.end(&ending),
            Due::Operator(writes) => self.operate(writes),
            Due::Request(load) => self.request(load),
            Due::CallerTimer(number) => {
                let flow = &mut self.caller.flows[number];
                if flow.next_timer().is_some_and(|due| due <= self.now) {
                    let packets = flow.tick(self.now);
                    self.spray(packets);
                    self.arm_caller(number);
                }
            }
            Due::Resend(key) => self.resend(key),
            Due::Withdraw(name) => self.spray.retain(|other| *other != name),
        }
    }

    fn request(&mut self, number: usize) {
        let load = self.scenario.loads[number].clone();
        if self.now + load.every <= Time::ZERO + WARM_UP + self.scenario.run {
            self.push(load.every, Due::Request(number));
        }
        let usable = self.caller.usable(&load);
        if usable.is_empty() {
            return;
        }
        let key = RequestKey::new(self.rng.random());
        self.caller.ask(self.now, key, load);
        let flow = usable[self.rng.random_range(0..usable.len())];
        self.transmit(key, flow);
        if self.rng.random_bool(self.settings.twice) {
            let flow = usable[self.rng.random_range(0..usable.len())];
            self.transmit(key, flow);
        }
        if let Some((after, _)) = self.settings.resend {
            self.push(after, Due::Resend(key));
        }
    }

    fn resend(&mut self, key: RequestKey) {
        let Some((after, attempts)) = self.settings.resend else {
            return;
        };
        let Some(ask) = self.caller.asks.get_mut(&key) else {
            return;
        };
        if ask.is_answered() || ask.attempts >= attempts {
            return;
        }
        ask.attempts += 1;
        let load = ask.load.clone();
        let usable = self.caller.usable(&load);
        let flow = usable[self.rng.random_range(0..usable.len())];
        self.transmit(key, flow);
        self.push(after, Due::Resend(key));
    }

    fn transmit(&mut self, key: RequestKey, flow: usize) {
        let packets = self.caller.send(self.now, key, flow);
        self.spray(packets);
        self.arm_caller(flow);
    }

    fn arm_caller(&mut self, number: usize) {
        if let Some(due) = self.caller.flows[number].next_timer() {
            self.push_at(due, Due::CallerTimer(number));
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

    /// The current version of a kind's objects as an operator reads them.
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
