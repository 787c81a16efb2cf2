use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use indexmap::IndexMap;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use jsonrpsee::server::ServerHandle;
use serde_json::{Value as Json, json};
use usher_config::{Condition, Kind, Object, ObjectKey, Value};
use usher_platform::{Client, Request};
use usher_platform_standin::store;
use usher_standins::{Backend, BackendArgs, BackendControl, Caller, Fabric};
use usher_store::{Limits, Store};
use usher_types::{Profile, RequestKey, Service, Span, Version};

use crate::process::Process;

pub const BOOKING: &str = "booking-desk";
pub const MAPS: &str = "map-office";
pub const SLOTS: usize = 3;
pub const START_LIMIT: Duration = Duration::from_secs(30);
pub const ANSWER_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CENTRES: [&str; 3] = ["riga-centrs", "riga-purvciems", "riga-agenskalns"];
const STORE_PORT: u16 = 1_000;
const FABRIC_PORT: u16 = 1_001;
const BALANCER_PORT: u16 = 2_000;
const HOST_PORT: u16 = 3_000;
const PORTS_PER_PROCESS: u16 = 10;

/// A whole deployment on a loopback address of its own, so that deployments share no port.
///
/// Store, fabric and backend servers are stand-ins in this process.
#[derive(Debug)]
pub struct Deployment {
    pub ip: Ipv4Addr,
    pub fabric: Fabric,
    pub processes: IndexMap<String, Process>,
    pub backends: IndexMap<String, BackendControl>,
    pub peers: Vec<SocketAddrV4>,
    pub statsd: Option<SocketAddrV4>,
    store: Store,
    folder: PathBuf,
    handles: Vec<ServerHandle>,
    admins: IndexMap<String, SocketAddrV4>,
    callers: AtomicU8,
}

/// Polls a condition until it holds; fails the test after `limit`.
pub fn await_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Address that callers use for a service.
pub fn service_address(service: &str) -> SocketAddrV4 {
    let last = if service == BOOKING { 10 } else { 11 };
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, last), 7_000)
}

impl Deployment {
    /// Starts store and fabric and writes profiles and services.
    pub fn new(name: &str) -> Self {
        static NUMBER: AtomicU8 = AtomicU8::new(1);
        // The address contains the process id, so that test processes share no port either.
        let [.., high, low] = (std::process::id() % 62_500).to_be_bytes();
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 1 + high, low, number);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // An earlier run may have left logs behind.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let store = SocketAddrV4::new(ip, STORE_PORT);
        store::Store::start(store);
        let callers = SocketAddrV4::new(ip, FABRIC_PORT);
        let answers = SocketAddrV4::new(ip, FABRIC_PORT + 1);
        let deployment = Self {
            ip,
            fabric: Fabric::start(callers, answers, 1).unwrap(),
            processes: IndexMap::new(),
            backends: IndexMap::new(),
            peers: Vec::new(),
            statsd: None,
            store: Store::new(store, Limits::default()),
            folder,
            handles: Vec::new(),
            admins: IndexMap::new(),
            callers: AtomicU8::new(1),
        };
        for service in [BOOKING, MAPS] {
            deployment.put(Kind::Profile, service, Profile::default());
            let entry = Service {
                address: service_address(service),
                profile: service.parse().unwrap(),
                generation: usher_types::Generation::default(),
            };
            deployment.put(Kind::Service, service, entry);
        }
        deployment
    }

    /// Starts balancers and hosts of `booking-desk`; waits until non-repeatable requests are run.
    pub fn start(name: &str, balancers: u16, hosts: u16) -> Self {
        let mut deployment = Self::new(name);
        for number in 1..=balancers {
            deployment.add_balancer(number);
        }
        for number in 1..=hosts {
            deployment.add_host(BOOKING, number);
        }
        let numbers: Vec<u16> = (1..=balancers).collect();
        deployment.distribute_to(&numbers);
        deployment.await_members(BOOKING, usize::from(hosts));
        deployment.await_in_force(START_LIMIT);
        deployment.await_grants();
        deployment
    }

    pub fn add_balancer(&mut self, number: u16) {
        let name = format!("entry-{number}");
        let port = BALANCER_PORT + PORTS_PER_PROCESS * number;
        let [packets, control] = [1, 2].map(|offset| self.address(port + offset));
        let section = format!("[balancer]\npackets = {packets}\ncontrol = {control}\n");
        self.launch(&name, "balancer", port, &section);
    }

    /// Stops a backend server by its number in the order of their start, from 1.
    pub fn stop_backend(&self, number: usize) {
        self.handles[number - 1].stop().unwrap();
    }

    /// Starts a backend server and its agent.
    pub fn add_host(&mut self, service: &str, number: u16) {
        let backend = self.address(host_port(service, number) + 2);
        let args = BackendArgs {
            listen: backend,
            service: service.to_owned(),
            slots: SLOTS,
            time: Vec::new(),
            speed: 1.0,
            cold: Span::ZERO,
            stragglers: 0.0,
            answer: 64,
            seed: u64::from(number),
        };
        let backend_control = BackendControl::default();
        let started = Backend::start_with(args, backend_control.clone());
        let (_, handle) = task::block_on(started).unwrap();
        self.handles.push(handle);
        self.backends
            .insert(host_name(service, number), backend_control);
        self.add_agent(service, number);
    }

    /// Starts the agent of a backend server that is already running.
    pub fn add_agent(&mut self, service: &str, number: u16) {
        let listen = self.agent_address(service, number);
        self.add_agent_at(service, number, listen);
    }

    /// Starts an agent on a given UDP address.
    pub fn add_agent_at(&mut self, service: &str, number: u16, listen: SocketAddrV4) {
        let port = host_port(service, number);
        let backend = self.address(port + 2);
        let fabric = self.fabric.answers();
        let section = format!(
            "[agent]\nservice = {service}\nlisten = {listen}\nbackend = {backend}\n\
             fabric = {fabric}\nslots = {SLOTS}\n"
        );
        self.launch(&host_name(service, number), "agent", port, &section);
    }

    pub fn agent_address(&self, service: &str, number: u16) -> SocketAddrV4 {
        self.address(host_port(service, number) + 1)
    }

    /// UDP addresses of a balancer for packets and for heartbeats.
    pub fn balancer_addresses(&self, number: u16) -> [SocketAddrV4; 2] {
        let port = BALANCER_PORT + PORTS_PER_PROCESS * number;
        [self.address(port + 1), self.address(port + 2)]
    }

    pub fn admin(&self, name: &str) -> SocketAddrV4 {
        self.admins[name]
    }

    /// Makes the fabric distribute packets over these balancers.
    pub fn distribute_to(&self, balancers: &[u16]) {
        let addresses: Vec<_> = balancers
            .iter()
            .map(|number| self.balancer_addresses(*number)[0])
            .collect();
        self.fabric.set_balancers(&addresses).unwrap();
    }

    /// Log of a process so far.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap()
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap()
    }

    /// Starts a caller with an address of its own.
    pub fn caller(&self) -> Caller {
        let number = self.callers.fetch_add(1, Ordering::Relaxed);
        Caller::start(self.fabric.callers(), Ipv4Addr::new(10, 1, 0, number)).unwrap()
    }

    /// Calls the administration RPC of a process; `None` when it does not answer.
    pub fn call(&self, name: &str, method: &str) -> Option<Json> {
        self.call_with(name, method, rpc_params![])
    }

    fn call_with(&self, name: &str, method: &str, params: ArrayParams) -> Option<Json> {
        let address = self.admin(name);
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .build(format!("http://{address}"))
            .unwrap();
        task::block_on(async { client.request(method, params).await.ok() })
    }

    /// Position in the store up to which a process has the configuration in force.
    pub fn revision(&self, name: &str) -> Option<Version> {
        serde_json::from_value(self.call(name, "status")?["revision"].take()).ok()
    }

    /// Objects that a process holds.
    pub fn objects(&self, name: &str) -> Option<Vec<Object>> {
        let none = rpc_params![Version::default()];
        let mut batch = self.call_with(name, "config.since", none)?;
        serde_json::from_value(batch["objects"].take()).ok()
    }

    /// Creates or replaces an object and returns its version.
    pub fn put(&self, kind: Kind, name: &str, value: impl Into<Value>) -> Version {
        let key = ObjectKey::new(kind, name.parse().unwrap());
        let value = value.into();
        task::block_on(async {
            let condition = match self.store.get(&key).await.unwrap() {
                Some(object) => Condition::Version(object.position),
                None => Condition::Absent,
            };
            self.store.put(key, condition, value).await.unwrap()
        })
    }

    /// Sets the fault switches of the store.
    pub fn set_store_faults(&self, faults: &Json) {
        let request = Request {
            method: "PUT",
            path: "/faults".to_owned(),
            body: faults.to_string(),
        };
        let client = Client::new(SocketAddrV4::new(self.ip, STORE_PORT));
        let limit = Span::from_micros(CALL_TIMEOUT.as_micros() as u64);
        let reply = task::block_on(async { client.call(&request, limit).await });
        assert_eq!(reply.unwrap().status, 204);
    }

    pub fn clear_store_faults(&self) {
        self.set_store_faults(&json!({}));
    }

    /// All objects in the store.
    pub fn stored(&self) -> Vec<Object> {
        let listed = task::block_on(self.store.list(None, Version::default()));
        listed.unwrap().objects
    }

    /// Hosts in the roster of a service.
    pub fn members(&self, service: &str) -> Vec<String> {
        let key = ObjectKey::new(Kind::Roster, service.parse().unwrap());
        let object = task::block_on(self.store.get(&key)).unwrap();
        match object.and_then(|object| object.value) {
            Some(Value::Roster(roster)) => roster.members.keys().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }

    /// Balancers in all fleets.
    pub fn balancers(&self) -> Vec<String> {
        let objects = self.stored().into_iter();
        let fleets = objects.filter_map(|object| match object.value {
            Some(Value::Fleet(fleet)) => Some(fleet),
            _ => None,
        });
        fleets
            .flat_map(|fleet| fleet.balancers.into_keys())
            .map(|name| name.to_string())
            .collect()
    }

    pub fn await_members(&self, service: &str, count: usize) {
        await_until("the roster", START_LIMIT, || {
            self.members(service).len() == count
        });
    }

    /// Waits until every running process has the newest configuration in force.
    pub fn await_in_force(&self, limit: Duration) {
        let newest = task::block_on(self.store.list(None, Version::default()));
        let newest = newest.unwrap().through;
        await_until("the configuration in force", limit, || {
            let mut names = self.processes.keys();
            names.all(|name| self.revision(name).is_some_and(|held| held >= newest))
        });
    }

    /// Number of runs of a key on all backend servers.
    pub fn runs(&self, key: RequestKey) -> usize {
        self.backends
            .values()
            .map(|backend| backend.runs(key))
            .sum()
    }

    // Waits until non-repeatable requests run: key owners grant them only after the records that
    // move when hosts join have been handed over.
    fn await_grants(&self) {
        const REQUIRED_ANSWERS: u32 = 10;
        let caller = self.caller();
        let address = service_address(BOOKING);
        let mut granted = 0;
        await_until("grants", START_LIMIT, || {
            let Some(flow) = caller.open(address, CALL_TIMEOUT) else {
                eprintln!("a flow did not open");
                return false;
            };
            let outcome = caller.send(flow, &crate::load::once()).wait(ANSWER_LIMIT);
            let is_answered = matches!(outcome, Some(usher_types::Outcome::Answered(_)));
            if !is_answered {
                eprintln!("{flow}: {outcome:?}");
            }
            granted = if is_answered { granted + 1 } else { 0 };
            granted >= REQUIRED_ANSWERS
        });
    }

    fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    fn launch(&mut self, name: &str, role: &str, port: u16, section: &str) {
        let admin = self.address(port);
        let centre = CENTRES[usize::from(port / PORTS_PER_PROCESS) % CENTRES.len()];
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let peers = peers.join(",");
        let statsd = match self.statsd {
            Some(address) => format!("[metrics]\nstatsd = {address}\n"),
            None => String::new(),
        };
        let settings = format!(
            "[process]\nrole = {role}\nname = {name}\ncentre = {centre}\nstore = {}:{STORE_PORT}\n\
             admin = {admin}\npeers = {peers}\n[log]\nlevel = debug\n{statsd}{section}",
            self.ip
        );
        let process = Process::start(&self.folder, name, &settings);
        self.processes.insert(name.to_owned(), process);
        self.admins.insert(name.to_owned(), admin);
    }
}

pub fn host_name(service: &str, number: u16) -> String {
    format!("{service}-{number}")
}

fn host_port(service: &str, number: u16) -> u16 {
    let first = if service == BOOKING { 0 } else { 50 };
    HOST_PORT + PORTS_PER_PROCESS * (first + number)
}
