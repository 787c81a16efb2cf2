//! A machine beside a server freezes; opening packets that wait there arrive late at another server.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Clients, Plan, Router};
use crate::host::{Host, HostSettings, Truth, call};
use crate::lab::{APP, CONTROL, Lab, OUTBOUND, PACKETS, READY, Record};
use crate::store::Store;

const SERVICE: &str = "booking-desk";
const BALANCERS: [u8; 2] = [11, 12];
const SERVERS: [u8; 2] = [21, 22];
const FREEZE: Duration = Duration::from_secs(4);
const LONG_FLOWS: usize = 36;

/// Returns 0 if no open flow was reset, 1 if one was, 2 if the case could not run.
pub fn run(record: &Record, trouble: bool) -> i32 {
    let lab = Lab::new(record.clone());
    let store = Store::start(lab.at(1, crate::lab::STORE));
    let route = "198.18.0.1:8443".parse().unwrap();
    store.put("config", "main", &configuration());
    let balancers: Vec<_> = BALANCERS.iter().map(|host| lab.balancer(*host, &BALANCERS)).collect();
    let agents: Vec<_> = SERVERS.iter().map(|host| lab.agent(*host, SERVICE, &BALANCERS)).collect();
    let ends: Vec<_> = balancers.iter().map(|node| (node.at(PACKETS), node.at(READY))).collect();
    let router = Router::start(&ends, record);
    // The servers start when their machines have run for some seconds.
    sleep(Duration::from_secs(4));
    let truth = Arc::new(Mutex::new(Truth::default()));
    let servers: Vec<Host> = SERVERS
        .iter()
        .map(|host| {
            let settings = HostSettings {
                name: format!("server-{host}"),
                service: SERVICE.to_owned(),
                zone: "riga-centrs".to_owned(),
                app: lab.at(*host, APP),
                outbound: lab.at(*host, OUTBOUND),
                control: lab.at(*host, CONTROL),
                slots: 3,
                work: Duration::from_millis(4),
            };
            Host::start(&settings, Arc::clone(&truth), record.clone())
        })
        .collect();
    sleep(Duration::from_secs(3));
    let heard = servers.iter().all(|server| server.beats.load(Ordering::Relaxed) > 0);
    let ready = ends.iter().all(|(_, ready)| call(*ready, "GET", "/readyz", "") == Some(200));
    if !heard || !ready || router.in_rotation() != BALANCERS.len() {
        record.say("the deployment is not ready");
        return 2;
    }
    let addresses: Vec<_> = (31..35).map(|host| lab.at(host, PACKETS)).collect();
    let mut clients = Clients::new(&addresses, router, Arc::clone(&truth), record.clone());
    let short = Plan {
        label: "short",
        route,
        request: 900,
        answer: 600,
        pause: Duration::ZERO,
        requests: 1,
        deadline: Duration::from_secs(1),
    };
    // A client that keeps its flow open for many requests.
    let long = Plan {
        label: "long",
        request: 5_000,
        pause: Duration::from_millis(150),
        requests: u32::MAX,
        ..short.clone()
    };
    let background = |clients: &mut Clients, span: Duration| {
        let end = Instant::now() + span;
        while Instant::now() < end {
            clients.open(&short);
            clients.run(Duration::from_millis(100));
        }
    };
    background(&mut clients, Duration::from_secs(3));
    // The balancers prefer the server that they take for the faster one; its machine freezes.
    let served = |host: &u8| truth.lock().unwrap().served.get(&format!("server-{host}")).copied();
    let frozen = usize::from(served(&SERVERS[1]) > served(&SERVERS[0]));
    record.say("clients that keep their flows begin");
    if trouble {
        record.say(&format!("machine {} freezes", agents[frozen].name));
        servers[frozen].frozen.store(true, Ordering::Relaxed);
        agents[frozen].signal("STOP");
    }
    let frozen_at = Instant::now();
    for _flow in 0..LONG_FLOWS {
        clients.open(&long);
        clients.run(Duration::from_millis(6));
    }
    background(&mut clients, FREEZE.saturating_sub(frozen_at.elapsed()));
    record.say(&format!("open flows that are kept: {}", clients.open_flows("long")));
    if trouble {
        agents[frozen].signal("CONT");
        servers[frozen].frozen.store(false, Ordering::Relaxed);
        record.say(&format!("machine {} runs again", agents[frozen].name));
    }
    background(&mut clients, Duration::from_secs(6));
    record.say(&format!("open flows that are kept: {}", clients.open_flows("long")));
    record.say(&format!("{:?}", clients.counts));
    let words = ["MU-E2204", "MU-E2213", "MU-E2008", "MU-E2001"];
    lab.keep_logs(60, &words);
    i32::from(clients.counts.resets > 0)
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"slots\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/8443/\",\"type\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
