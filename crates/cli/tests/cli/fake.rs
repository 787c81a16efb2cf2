//! Processes that answer `status` with a fixed text, and rosters that list them.

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

// No process listens on this port, which needs rights that no test has.
const NOBODY: &str = "127.0.0.1:1";

/// A process that answers with the last status that it was given.
pub struct Fake {
    pub admin: SocketAddrV4,
    status: Arc<Mutex<Json>>,
    _server: ServerHandle,
}

impl Fake {
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

/// A status as every process reports it.
pub fn status(revision: u64) -> Json {
    json!({ "incarnation": 1, "revision": revision, "state": "serving", "centre": "kolkata" })
}

pub fn nobody() -> SocketAddrV4 {
    NOBODY.parse().unwrap()
}

/// Lists hosts of a service, as their agents would.
pub fn list_hosts(shell: &Shell, service: &str, hosts: &[(&str, SocketAddrV4)]) {
    let member = |admin| Member {
        incarnation: Incarnation::new(1),
        agent: nobody(),
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

/// Lists one balancer, as it would itself.
pub fn list_balancer(shell: &Shell, name: &str, admin: SocketAddrV4) {
    let entry = Balancer {
        incarnation: Incarnation::new(1),
        control: nobody(),
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
