//! A store that is silent while balancers renew their watches, with real processes.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use usher_platform_standin::store::{Down, Faults};
use usher_platform_standin::{Deployment, Process, SERVICE, eventually};

// A watch ends after 10 s; the silence begins shortly before.
const BEFORE_SILENCE: Duration = Duration::from_millis(9_800);
const SILENCE: Duration = Duration::from_secs(2);
// The platform's bound for a change of the configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a watch that is sent to a silent store and hides the next configuration for as long
/// as it may last.
#[test]
fn a_silence_as_watches_end_hides_no_configuration() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let deployment = Deployment::start(44, program, folder);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    deployment.await_flow(1_000);
    // The change makes the balancer renew its watch.
    let routes = [("198.18.0.1", 443, SERVICE), ("198.18.0.8", 443, SERVICE)];
    deployment.store.configure_routes(&routes);
    sleep(BEFORE_SILENCE);
    deployment.store.set_faults(Faults {
        down: Some(Down::Hang),
        ..Faults::default()
    });
    sleep(SILENCE);
    deployment.store.set_down(false);
    deployment.store.configure_routes(&[
        ("198.18.0.1", 443, SERVICE),
        ("198.18.0.8", 443, SERVICE),
        ("198.18.0.9", 443, SERVICE),
    ]);
    let acknowledged = Instant::now();
    let log = folder.join("node-44-2.log");
    while acknowledged.elapsed() < APPLY_LIMIT {
        let text = fs::read_to_string(&log).unwrap();
        let (_, since_start) = text.rsplit_once("MU-E2001").unwrap();
        if since_start.contains("routes=3") {
            return;
        }
        sleep(Duration::from_millis(20));
    }
    panic!("the change is not in force after {APPLY_LIMIT:?}");
}

// Machines are in touch with the store again 4 s after a silence, and a change of this long after it is
// then due.
const CHANGE_DELAY: Duration = Duration::from_secs(1);
const CHANGES: &[(&str, u16, &str)] = &[
    ("198.18.0.1", 443, SERVICE),
    ("198.18.0.11", 443, SERVICE),
    ("198.18.0.12", 443, SERVICE),
    ("198.18.0.13", 443, SERVICE),
    ("198.18.0.14", 443, SERVICE),
    ("198.18.0.15", 443, SERVICE),
    ("198.18.0.16", 443, SERVICE),
    ("198.18.0.17", 443, SERVICE),
    ("198.18.0.18", 443, SERVICE),
    ("198.18.0.19", 443, SERVICE),
    ("198.18.0.20", 443, SERVICE),
];

struct Balancers {
    deployment: Deployment,
    // It runs until the end of the test.
    _second: Process,
    logs: Vec<PathBuf>,
    routes: usize,
}

impl Balancers {
    fn start(net: u8) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let deployment = Deployment::start(net, program, folder);
        let second = deployment.second_balancer(&[2]);
        let balancers = Self {
            deployment,
            _second: second,
            logs: [2, 5]
                .map(|host| folder.join(format!("node-{net}-{host}.log")))
                .into(),
            routes: 1,
        };
        eventually("the configuration is in force", || balancers.in_force());
        balancers
    }

    // Adds a route.
    fn change(&mut self) {
        self.routes += 1;
        self.deployment
            .store
            .configure_routes(&CHANGES[..self.routes]);
    }

    // Whether all balancers have the latest route.
    fn in_force(&self) -> bool {
        let wanted = format!("routes={} ", self.routes);
        self.logs.iter().all(|log| {
            let text = fs::read_to_string(log).unwrap();
            let since_start = text.rsplit_once("MU-E2001").map_or("", |(_, text)| text);
            since_start.contains(&wanted)
        })
    }

    fn await_in_force(&self, case: &str) {
        let deadline = Instant::now() + APPLY_LIMIT;
        while !self.in_force() {
            assert!(
                Instant::now() < deadline,
                "{case}: the change is not in force"
            );
            sleep(Duration::from_millis(20));
        }
    }
}

/// Guards against a silence that begins right after a change and hides the next one: the watches that
/// balancers send after a change are then never answered.
#[test]
fn a_silence_after_a_change_hides_no_configuration() {
    let mut balancers = Balancers::start(76);
    for offset in [0, 2, 5, 10, 40] {
        balancers.change();
        sleep(Duration::from_millis(offset));
        balancers.deployment.store.set_faults(Faults {
            down: Some(Down::Hang),
            ..Faults::default()
        });
        sleep(Duration::from_millis(300));
        balancers.deployment.store.set_down(false);
        sleep(CHANGE_DELAY);
        balancers.change();
        balancers.await_in_force(&format!("silence after {offset} ms"));
    }
}

/// Guards against the same where a silence ends before any later call: only the watches are lost.
#[test]
fn lost_watches_hide_no_configuration() {
    let mut balancers = Balancers::start(77);
    for lost in [1, 2] {
        balancers.deployment.store.set_faults(Faults {
            lose_watches: lost,
            ..Faults::default()
        });
        balancers.change();
        sleep(CHANGE_DELAY);
        balancers.change();
        balancers.await_in_force(&format!("{lost} lost watches"));
    }
}

/// Guards against a store that is silent at a change and does not tell the watches that wait: the change
/// must not stay unknown until they end.
#[test]
fn a_change_that_waiting_watches_do_not_hear_is_in_force() {
    let mut balancers = Balancers::start(80);
    for offset in [500, 2_200, 4_300] {
        balancers.change();
        balancers.await_in_force("a change");
        sleep(Duration::from_millis(offset));
        let mute = |mute| {
            balancers.deployment.store.set_faults(Faults {
                mute,
                ..Faults::default()
            });
        };
        mute(true);
        balancers.routes += 1;
        let routes = &CHANGES[..balancers.routes];
        balancers.deployment.store.configure_routes(routes);
        sleep(Duration::from_millis(50));
        mute(false);
        sleep(CHANGE_DELAY);
        balancers.await_in_force(&format!("muted after {offset} ms"));
    }
}
