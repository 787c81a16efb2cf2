//! Processes that answer `status` as a test sets it, and rosters and fleets that list them.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};

use async_std::task;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use serde_json::{Value as Json, json};
use usher_config::{Condition, Kind, ObjectKey, Value};
use usher_store::{Limits, Store};
use usher_types::{Balancer, Fleet, HostState, Incarnation, Member, Roster, Version, Weight};

use crate::shell::Shell;

// No process listens on port 1, since that needs privileges that tests do not have.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// A process that answers `status` calls with the status last set.
pub struct FakeProcess {
    pub admin: SocketAddrV4,
    status: Arc<Mutex<Json>>,
    _server: ServerHandle,
}

impl FakeProcess {
    pub fn new(status: Json) -> Self {
        let status = Arc::new(Mutex::new(status));
        let answer = Arc::clone(&status);
        let (admin, server) = task::block_on(async move {
            let server = Server::builder().build("127.0.0.1:0").await.unwrap();
            let SocketAddr::V4(admin) = server.local_addr().unwrap() else {
                panic!("no IPv4 address");
            };
            let mut module = RpcModule::new(answer);
            module
                .register_method("status", |_, answer, _| answer.lock().unwrap().clone())
                .unwrap();
            (admin, server.start(module))
        });
        Self {
            admin,
            status,
            _server: server,
        }
    }

    pub fn set(&self, key: &str, value: Json) {
        self.status.lock().unwrap()[key] = value;
    }
}

/// The status fields that every process reports.
pub fn status(revision: u64) -> Json {
    json!({ "incarnation": 1, "revision": revision, "state": "serving", "centre": "kolkata" })
}

/// An address at which no process answers.
pub fn unused_address() -> SocketAddrV4 {
    UNUSED_ADDRESS.parse().unwrap()
}

/// Writes the roster of a service with these hosts, as their agents would.
pub fn list_hosts(shell: &Shell, service: &str, hosts: &[(&str, SocketAddrV4)]) {
    let member = |admin| Member {
        incarnation: Incarnation::new(1),
        agent: unused_address(),
        admin,
        centre: "kolkata".parse().unwrap(),
        weight: Weight::NOMINAL,
        state: HostState::Serving,
    };
    let members = hosts.iter();
    let roster = Roster {
        version: Version::default(),
        members: members
            .map(|(name, admin)| (name.parse().unwrap(), member(*admin)))
            .collect(),
        earlier: Vec::new(),
    };
    put(shell, Kind::Roster, service, Value::Roster(roster));
}

/// Writes a fleet with this balancer, as the balancer would.
pub fn list_balancer(shell: &Shell, name: &str, admin: SocketAddrV4) {
    let entry = Balancer {
        incarnation: Incarnation::new(1),
        control: unused_address(),
        admin,
    };
    let fleet = Fleet {
        version: Version::default(),
        balancers: [(name.parse().unwrap(), entry)].into(),
    };
    put(shell, Kind::Fleet, "kolkata", Value::Fleet(fleet));
}

fn put(shell: &Shell, kind: Kind, name: &str, value: Value) {
    let store = Store::new(shell.store.parse().unwrap(), Limits::default());
    let key = ObjectKey::new(kind, name.parse().unwrap());
    task::block_on(store.put(key, Condition::Absent, value)).unwrap();
}
