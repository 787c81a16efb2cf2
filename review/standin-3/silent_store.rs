//! The store falls silent right after a change; the next change comes when it has long been back.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Clients, Outcome, Plan, Router};
use crate::host::{Host, HostSettings, Truth, call};
use crate::lab::{APP, CONTROL, Lab, OUTBOUND, PACKETS, READY, Record, STORE};
use crate::store::Store;

const SERVICE: &str = "booking-desk";
const BALANCERS: [u8; 2] = [11, 12];
const SERVERS: [u8; 2] = [21, 22];
const SILENCE: Duration = Duration::from_secs(1);
// `stabilityWindowMs` and `configApplyMs`, each with something to spare.
const STABLE_AFTER: Duration = Duration::from_millis(4_200);
const APPLIED_AFTER: Duration = Duration::from_millis(3_050);

/// Returns 0 if the second change was in force in time, 1 if not, 2 if the case could not run.
pub fn run(record: &Record, trouble: bool) -> i32 {
    let lab = Lab::new(record.clone());
    let store = Store::start(lab.at(1, STORE));
    store.put("config", "main", &configuration(3, &[1, 2]));
    let balancers: Vec<_> = BALANCERS.iter().map(|host| lab.balancer(*host, &BALANCERS)).collect();
    let _agents: Vec<_> = SERVERS.iter().map(|host| lab.agent(*host, SERVICE, &BALANCERS)).collect();
    let ends: Vec<_> = balancers.iter().map(|node| (node.at(PACKETS), node.at(READY))).collect();
    let router = Router::start(&ends, record);
    let truth = Arc::new(Mutex::new(Truth::default()));
    let start = |host: &u8| {
        let settings = HostSettings {
            name: format!("server-{host}"),
            service: SERVICE.to_owned(),
            zone: "riga-centrs".to_owned(),
            app: lab.at(*host, APP),
            outbound: lab.at(*host, OUTBOUND),
            control: lab.at(*host, CONTROL),
            slots: 3,
            work: Duration::from_millis(25),
        };
        Host::start(&settings, Arc::clone(&truth), record.clone())
    };
    sleep(Duration::from_millis(500));
    let servers: Vec<Host> = SERVERS.iter().map(start).collect();
    sleep(Duration::from_secs(6));
    let heard = servers.iter().all(|server| server.beats.load(Ordering::Relaxed) > 0);
    let ready = ends.iter().all(|(_, ready)| call(*ready, "GET", "/readyz", "") == Some(200));
    if !heard || !ready || router.in_rotation() != BALANCERS.len() {
        record.say("the deployment is not ready");
        return 2;
    }
    let addresses: Vec<_> = (31..35).map(|host| lab.at(host, PACKETS)).collect();
    let mut clients = Clients::new(&addresses, router, Arc::clone(&truth), record.clone());
    let kept = Plan {
        label: "route 1",
        route: address(1),
        request: 900,
        answer: 600,
        pause: Duration::ZERO,
        requests: 1,
        deadline: Duration::from_secs(1),
    };
    let dropped = Plan { label: "route 2", route: address(2), ..kept.clone() };
    let added = Plan { label: "route 4", route: address(4), ..kept.clone() };
    let pass = |clients: &mut Clients, span: Duration| {
        let end = Instant::now() + span;
        while Instant::now() < end {
            clients.open(&kept);
            clients.run(Duration::from_millis(50));
        }
    };
    pass(&mut clients, Duration::from_secs(2));
    let first = configuration(7, &[1, 2, 3]);
    if trouble {
        store.put_and_fall_silent("config", "main", &first, SILENCE);
        record.say("route 3 is added; the store falls silent for 1 s");
    } else {
        store.put("config", "main", &first);
        record.say("route 3 is added");
    }
    pass(&mut clients, SILENCE + STABLE_AFTER);
    store.put("config", "main", &configuration(10, &[1, 3, 4]));
    record.say("route 2 is removed and route 4 is added; the store has acknowledged it");
    pass(&mut clients, APPLIED_AFTER);
    let mut opened = Vec::new();
    for _round in 0..10 {
        opened.push((clients.open(&dropped), true));
        opened.push((clients.open(&added), false));
        clients.run(Duration::from_millis(100));
    }
    clients.run(Duration::from_secs(2));
    let count = |is_dropped: bool, outcome: Outcome| {
        let of = opened.iter().filter(|(_, dropped)| *dropped == is_dropped);
        of.filter(|(flow, _)| clients.outcome(flow) == outcome).count()
    };
    let (run, refused) = (count(true, Outcome::Opened), count(false, Outcome::Refused));
    record.say(&format!("opened on the removed route: {run} of 10; refused on the added route: {refused} of 10"));
    record.say(&format!("{:?}", clients.counts));
    lab.keep_logs(20, &["MU-E2101", "MU-E2105", "MU-E2111", "MU-E2112"]);
    i32::from(run + refused > 0)
}

fn address(route: u8) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new([198, 18, 0, route].into(), 8_443)
}

fn configuration(version: u32, routes: &[u8]) -> String {
    let route = |number: &u8| {
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"198.18.0.{number}\",\"pathPrefix\":\"/8443/\",\"type\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
