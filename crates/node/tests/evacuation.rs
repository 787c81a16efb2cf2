//! Evacuation of data centres, with real processes: balancers, agents and backend servers of two
//! data centres.

use std::fs;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use usher_evacuation::EvacuationStatus;
use usher_forwarding::{Flags, PacketHeader};
use usher_platform::{HEADER_BYTES, decode_header, encode_packet};
use usher_platform_standin::store::{Down, Faults, Store};
use usher_platform_standin::{
    Backend, METRICS_PORT, NodeLauncher, PACKET_PORT, PEER_PORT, Process, SERVICE, STORE_HOST,
    STORE_PORT, eventually, receive,
};
use usher_types::DataCentre;

const ROUTE: (&str, u16) = ("198.18.0.1", 443);
const BALANCERS: [u8; 2] = [2, 5];
const CALLER: u8 = 4;
// One host in each data centre.
const HOSTS: [(u8, &str); 2] = [(3, "kolkata"), (6, "howrah")];
// Half of the platform's bound for an evacuation.
const TARGET: Duration = Duration::from_millis(2_500);
// Flows that are opened to learn where new flows go: all miss one of two open hosts by chance in one of
// four million runs at most.
const FLOWS: u16 = 24;

fn log_file(net: u8, host: u8) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{net}-{host}.log"))
}

// Lines of a balancer's log that hold all of some texts.
fn log_lines(net: u8, host: u8, texts: &[&str]) -> usize {
    let log = fs::read_to_string(log_file(net, host)).unwrap();
    let lines = log.lines();
    lines
        .filter(|line| texts.iter().all(|text| line.contains(text)))
        .count()
}

// Balancers prefer hosts of their own data centre, so theirs is another one.
fn start_balancer(nodes: &NodeLauncher, host: u8) -> Process {
    nodes.in_centre("barasat").balancer(host, &BALANCERS)
}

struct Cluster {
    nodes: NodeLauncher,
    store: Store,
    balancers: Vec<Process>,
    agents: Vec<Process>,
    // They run until the end of the test.
    _backends: Vec<Backend>,
    caller: UdpSocket,
    port: u16,
}

impl Cluster {
    fn start(net: u8) -> Self {
        Self::start_with(net, start_balancer)
    }

    fn start_with(net: u8, balancer: impl Fn(&NodeLauncher, u8) -> Process) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let nodes = NodeLauncher::new(program, folder, net).with_evacuation();
        for host in BALANCERS.into_iter().chain(HOSTS.map(|(host, _)| host)) {
            // An earlier run may have left it.
            drop(fs::remove_file(log_file(net, host)));
        }
        let store = Store::start(nodes.address(STORE_HOST, STORE_PORT));
        store.configure(ROUTE.0, ROUTE.1, SERVICE);
        let caller = UdpSocket::bind(nodes.address(CALLER, PACKET_PORT)).unwrap();
        let wait = Duration::from_millis(200);
        caller.set_read_timeout(Some(wait)).unwrap();
        let agent =
            |(host, centre): &(u8, &str)| nodes.in_centre(centre).agent(*host, SERVICE, &BALANCERS);
        let backend = |(host, centre): &(u8, &str)| {
            Backend::start(&nodes.in_centre(centre), *host, SERVICE, 1)
        };
        let cluster = Self {
            balancers: BALANCERS.map(|host| balancer(&nodes, host)).into(),
            agents: HOSTS.iter().map(agent).collect(),
            _backends: HOSTS.iter().map(backend).collect(),
            store,
            caller,
            port: 1_000,
            nodes,
        };
        cluster.await_ready();
        cluster
    }

    // Kills all balancers and agents and starts them again.
    fn restart_all(&mut self) {
        for process in self.balancers.iter_mut().chain(&mut self.agents) {
            process.kill();
        }
        let nodes = &self.nodes;
        let balancers = BALANCERS.iter();
        self.balancers = balancers.map(|host| start_balancer(nodes, *host)).collect();
        let hosts = HOSTS.iter();
        self.agents = hosts
            .map(|(host, centre)| nodes.in_centre(centre).agent(*host, SERVICE, &BALANCERS))
            .collect();
        self.await_ready();
    }

    fn await_ready(&self) {
        for host in BALANCERS {
            eventually("a balancer is ready", || self.nodes.ready(host) == 200);
        }
    }

    fn assert_running(&mut self) {
        let mut processes = self.balancers.iter_mut().chain(&mut self.agents);
        assert!(processes.all(Process::is_running));
    }

    fn send(&self, balancer: u8, port: u16, acknowledged: Option<u32>) {
        let mut source = self.nodes.address(CALLER, 0);
        source.set_port(port);
        let packet_header = PacketHeader {
            source,
            target: SocketAddrV4::new(ROUTE.0.parse().unwrap(), ROUTE.1),
            flags: Flags {
                opening: acknowledged.is_none(),
                acknowledging: acknowledged.is_some(),
                ..Flags::default()
            },
            sequence: u32::from(port),
            acknowledged: acknowledged.unwrap_or(0),
            data: 0,
            token: 0,
        };
        let to = self.nodes.address(balancer, PACKET_PORT);
        self.caller
            .send_to(&encode_packet(&packet_header, b""), to)
            .unwrap();
    }

    // Opens a flow; returns the first sequence of the host that takes it, `None` if it is refused.
    fn open(&mut self, balancer: u8) -> (u16, Option<u32>) {
        self.port += 1;
        let port = self.port;
        let mut outcome = None;
        eventually("a flow is opened or refused", || {
            self.send(balancer, port, None);
            while let Some(packet) = receive(&self.caller) {
                let answer = decode_header(&packet).unwrap();
                if answer.target.port() == port {
                    let accepted = answer.flags.opening.then_some(answer.sequence);
                    outcome = Some(accepted);
                    return true;
                }
            }
            false
        });
        (port, outcome.unwrap())
    }

    // Hosts that take new flows of a balancer; 0 stands for a refusal.
    fn hosts(&mut self, balancer: u8) -> IndexSet<u8> {
        let flows = 0..FLOWS;
        flows
            .map(|_| {
                self.open(balancer)
                    .1
                    .map_or(0, |sequence| (sequence >> 16) as u8)
            })
            .collect()
    }

    // Whether the flow of a port is answered by the host that began it with `sequence`.
    fn is_answered(&self, balancer: u8, port: u16, sequence: u32) -> bool {
        self.send(balancer, port, Some(sequence));
        let host = (sequence >> 16) as u8;
        let expected = Backend::answer(SERVICE, host, 1);
        while let Some(packet) = receive(&self.caller) {
            if decode_header(&packet).unwrap().target.port() == port {
                return packet[HEADER_BYTES..] == *expected.as_bytes();
            }
        }
        false
    }

    // Waits until new flows of each balancer go to these hosts only.
    fn await_hosts(&mut self, hosts: &[u8]) {
        let hosts: IndexSet<u8> = hosts.iter().copied().collect();
        for balancer in BALANCERS {
            eventually("new flows go to the expected hosts", || {
                self.hosts(balancer) == hosts
            });
        }
    }

    // Asserts that new flows of each balancer go to these hosts only, half the bound after a change.
    fn assert_hosts(&mut self, since: Instant, hosts: &[u8]) {
        std::thread::sleep(TARGET.saturating_sub(since.elapsed()));
        self.assert_hosts_now(hosts);
    }

    fn assert_hosts_now(&mut self, hosts: &[u8]) {
        let hosts: IndexSet<u8> = hosts.iter().copied().collect();
        for balancer in BALANCERS {
            assert_eq!(
                self.hosts(balancer),
                hosts,
                "new flows of balancer {balancer}"
            );
        }
    }
}

/// Guards against new flows that still reach an evacuated data centre, open flows that are cut off, and
/// hosts that are not used again after the end.
#[test]
fn an_evacuated_data_centre_takes_no_new_flow() {
    let mut cluster = Cluster::start(60);
    cluster.await_hosts(&[3, 6]);
    let mut open = None;
    while open.is_none() {
        let (port, sequence) = cluster.open(BALANCERS[0]);
        open = sequence
            .filter(|sequence| sequence >> 16 == 3)
            .map(|sequence| (port, sequence));
    }
    let (port, sequence) = open.unwrap();
    assert!(cluster.is_answered(BALANCERS[0], port, sequence));
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[6]);
    assert!(
        cluster.is_answered(BALANCERS[0], port, sequence),
        "the open flow stays"
    );
    // Operators see it at balancers and agents.
    for host in [BALANCERS[0], BALANCERS[1], 3, 6] {
        let metrics = cluster.nodes.page(host, METRICS_PORT, "/metrics");
        let gauge = "usher_evacuated{centre=\"kolkata\"} ";
        let (_, value) = metrics.split_once(gauge).unwrap();
        let seconds: u64 = value.lines().next().unwrap().parse().unwrap();
        assert!((2..60).contains(&seconds), "{seconds} s at host {host}");
    }
    let status = cluster.nodes.page(BALANCERS[1], PEER_PORT, "/evacuations");
    let status: EvacuationStatus = serde_json::from_str(&status).unwrap();
    let centres: Vec<_> = status.centres.keys().map(DataCentre::as_str).collect();
    assert_eq!(centres, ["kolkata"]);
    cluster.store.end_evacuation("kolkata");
    cluster.await_hosts(&[3, 6]);
    for host in [BALANCERS[0], 3] {
        eventually("the gauge is gone", || {
            let metrics = cluster.nodes.page(host, METRICS_PORT, "/metrics");
            !metrics.contains("usher_evacuated{")
        });
    }
    cluster.assert_running();
}

/// Guards against new flows through a balancer whose calls the store refuses: it learns of the
/// evacuation, and of its end, from another balancer.
#[test]
fn a_balancer_that_the_store_refuses_takes_part() {
    let mut cluster = Cluster::start_with(61, |nodes, host| {
        if host == BALANCERS[1] {
            start_balancer(&nodes.without_store(), host)
        } else {
            start_balancer(nodes, host)
        }
    });
    cluster.await_hosts(&[3, 6]);
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[6]);
    cluster.store.end_evacuation("kolkata");
    cluster.assert_hosts(Instant::now(), &[3, 6]);
    // Without the evacuations the balancer would leave the decision to the agents.
    for event in ["MU-E2151", "MU-E2152"] {
        let lines = log_lines(
            61,
            BALANCERS[1],
            &[event, "centre=kolkata", "source=127.0.61.2"],
        );
        assert_eq!(lines, 1, "{event}");
    }
}

/// Guards against an agent that takes the new flows of a balancer which does not know the evacuations.
#[test]
fn agents_pass_on_what_an_outdated_balancer_sends() {
    let mut cluster = Cluster::start_with(69, |nodes, host| {
        if host == BALANCERS[1] {
            start_balancer(&nodes.without_evacuation(), host)
        } else {
            start_balancer(nodes, host)
        }
    });
    cluster.await_hosts(&[3, 6]);
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[6]);
    let known = log_lines(69, BALANCERS[1], &["MU-E2151"]);
    assert_eq!(known, 0);
}

/// Guards against an agent that was paused and delivers opening packets from before an evacuation.
#[test]
fn a_paused_agent_takes_no_flow_from_before_the_evacuation() {
    let mut cluster = Cluster::start(71);
    cluster.await_hosts(&[3, 6]);
    cluster.agents[0].set_suspended(true);
    // Balancers notice after 300 ms that the host is silent.
    for port in 5_000..5_040 {
        cluster.send(BALANCERS[0], port, None);
    }
    // A balancer that has heard of the evacuation sends nothing to the host.
    eventually("the balancer has placed the flows", || {
        log_lines(71, BALANCERS[0], &["MU-E2201", ":5039>"]) > 0
    });
    cluster.store.evacuate("kolkata");
    std::thread::sleep(Duration::from_secs(4));
    while receive(&cluster.caller).is_some() {}
    let of_host = |port: &u16| {
        let flow = format!(":{port}>");
        log_lines(71, BALANCERS[0], &["MU-E2201", &flow, "host=127.0.71.3 "]) > 0
    };
    let waiting: Vec<u16> = (5_000..5_040).filter(of_host).collect();
    assert!(!waiting.is_empty());
    cluster.agents[0].set_suspended(false);
    let mut hosts = IndexSet::new();
    while let Some(packet) = receive(&cluster.caller) {
        hosts.insert(decode_header(&packet).unwrap().sequence >> 16);
    }
    assert!(!hosts.contains(&3), "opened at {hosts:?}");
    // Their callers have given them up.
    eventually("the packets that waited are dropped", || {
        waiting.iter().all(|port| {
            let flow = format!(":{port}>");
            log_lines(71, 3, &["MU-E2206", &flow]) == 1
        })
    });
    cluster.assert_hosts_now(&[6]);
}

/// Guards against a balancer that takes new flows before it has tried to read the evacuations, and one
/// that never does because it cannot read them.
#[test]
fn readiness_waits_a_while_for_the_evacuations() {
    let mut cluster = Cluster::start(70);
    cluster.await_hosts(&[3, 6]);
    cluster.store.refuse_kind("evacuations");
    for process in &mut cluster.balancers {
        process.kill();
    }
    let begin = Instant::now();
    cluster.balancers = BALANCERS
        .iter()
        .map(|host| start_balancer(&cluster.nodes, *host))
        .collect();
    cluster.await_ready();
    // Without evacuations a balancer waits 1.5 s for reports, and 3 s for a configuration.
    let waited = begin.elapsed();
    assert!(waited > Duration::from_millis(2_500), "{waited:?}");
    cluster.await_hosts(&[3, 6]);
}

/// Guards against balancers or agents that forget an evacuation with a restart, and take new flows
/// before they know it.
#[test]
fn an_evacuation_outlives_restarts() {
    let mut cluster = Cluster::start(62);
    cluster.await_hosts(&[3, 6]);
    cluster.store.evacuate("howrah");
    cluster.assert_hosts(Instant::now(), &[3]);
    cluster.restart_all();
    cluster.assert_hosts_now(&[3]);
    // A balancer that cannot read the store takes the evacuations from the other one.
    cluster.store.set_down(true);
    cluster.balancers[0].kill();
    cluster.balancers[0] = start_balancer(&cluster.nodes, BALANCERS[0]);
    cluster.agents[1].kill();
    cluster.agents[1] = cluster
        .nodes
        .in_centre("howrah")
        .agent(6, SERVICE, &BALANCERS);
    cluster.await_ready();
    cluster.assert_hosts_now(&[3]);
}

/// Guards against an evacuation that ends because a restored store lacks it, and a request or
/// withdrawal after the restore that is ignored because its revision is smaller.
#[test]
fn an_evacuation_outlives_a_restored_store() {
    let mut cluster = Cluster::start(63);
    cluster.await_hosts(&[3, 6]);
    let copy = cluster.store.copy();
    for _ in 0..5 {
        cluster.store.evacuate("howrah");
        cluster.store.end_evacuation("howrah");
    }
    cluster.store.evacuate("howrah");
    cluster.assert_hosts(Instant::now(), &[3]);
    cluster.store.restore(copy);
    cluster.assert_hosts(Instant::now(), &[3]);
    cluster.store.evacuate("howrah");
    cluster.assert_hosts(Instant::now(), &[3]);
    cluster.store.end_evacuation("howrah");
    cluster.assert_hosts(Instant::now(), &[3, 6]);
}

/// Guards against a restored store whose revisions are higher than those read before, so that a watch
/// would go on without showing that the request is lost.
#[test]
fn a_restored_store_is_read_again_although_its_revisions_are_higher() {
    let mut cluster = Cluster::start(72);
    cluster.await_hosts(&[3, 6]);
    let mut copy = cluster.store.copy();
    for number in 0..20 {
        let name = format!("other-{number}");
        copy.create("others", &name, serde_json::json!({})).unwrap();
    }
    cluster.store.evacuate("howrah");
    cluster.assert_hosts(Instant::now(), &[3]);
    cluster.store.restore(copy);
    for host in BALANCERS {
        eventually("the balancer knows that the request is lost", || {
            log_lines(72, host, &["MU-E2153", "centre=howrah"]) > 0
        });
    }
    cluster.assert_hosts_now(&[3]);
}

/// Guards against a request and its withdrawal within a second that leave processes in different
/// states.
#[test]
fn a_request_and_its_withdrawal_within_a_second_leave_no_trace() {
    let mut cluster = Cluster::start(64);
    cluster.await_hosts(&[3, 6]);
    for pause in [0, 100, 700] {
        cluster.store.evacuate("kolkata");
        std::thread::sleep(Duration::from_millis(pause));
        cluster.store.end_evacuation("kolkata");
        cluster.assert_hosts(Instant::now(), &[3, 6]);
    }
    cluster.store.evacuate("kolkata");
    cluster.store.end_evacuation("kolkata");
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[6]);
}

/// Guards against callers that wait while all hosts of their service are evacuated, and against two
/// data centres of which only one is emptied.
#[test]
fn flows_are_refused_while_all_data_centres_are_evacuated() {
    let mut cluster = Cluster::start(65);
    cluster.await_hosts(&[3, 6]);
    cluster.store.evacuate("howrah");
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[0]);
    let begin = Instant::now();
    cluster.open(BALANCERS[0]);
    assert!(
        begin.elapsed() < Duration::from_millis(200),
        "refused at once"
    );
    cluster.store.end_evacuation("kolkata");
    cluster.assert_hosts(Instant::now(), &[3]);
}

/// Guards against entries of another writer that end a process, hide an evacuation or count as one.
#[test]
fn invalid_entries_change_nothing() {
    let mut cluster = Cluster::start(66);
    cluster.await_hosts(&[3, 6]);
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let entries = [
        "7".to_owned(),
        r#"{"meta":{"name":"Not A Centre!","revision":3},"spec":{}}"#.to_owned(),
        r#"{"meta":{"name":"howrah","revision":3},"spec":7}"#.to_owned(),
        r#"{"meta":{"name":"howrah","revision":99999999999999999999999},"spec":{}}"#.to_owned(),
        format!(r#"{{"meta":{{"name":"howrah","revision":3}},"spec":{nested}}}"#),
    ];
    for entry in &entries {
        cluster.store.add_odd("evacuations", entry);
    }
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[6]);
    cluster.store.end_evacuation("kolkata");
    cluster.assert_hosts(Instant::now(), &[3, 6]);
    // Each is logged once, although each answer of the store holds it.
    let lines = log_lines(66, BALANCERS[0], &["MU-E2118", "kind=evacuations"]);
    assert_eq!(lines, entries.len());
    cluster.restart_all();
    cluster.assert_hosts(Instant::now(), &[3, 6]);
    cluster.assert_running();
}

/// Guards against a silent store that hides a request for as long as a call for changes lasts.
#[test]
fn a_silence_of_the_store_hides_no_request_after_its_end() {
    let mut cluster = Cluster::start(67);
    cluster.await_hosts(&[3, 6]);
    cluster.store.set_faults(Faults {
        down: Some(Down::Hang),
        ..Faults::default()
    });
    std::thread::sleep(Duration::from_secs(7));
    cluster.store.evacuate("kolkata");
    cluster.store.set_faults(Faults::default());
    cluster.assert_hosts(Instant::now(), &[6]);
}

/// Guards against an evacuation where the settings do not call for it.
#[test]
fn evacuations_are_not_read_without_the_setting() {
    let mut cluster = Cluster::start_with(68, |nodes, host| {
        start_balancer(&nodes.without_evacuation(), host)
    });
    cluster.await_hosts(&[3, 6]);
    cluster.store.evacuate("kolkata");
    cluster.assert_hosts(Instant::now(), &[3, 6]);
}

/// Guards against watches that a silent store never answers and that hide the next change of the
/// evacuations from all balancers, for as long as watches of a large fleet last.
#[test]
fn lost_watches_hide_no_evacuation() {
    const OTHERS: [u8; 4] = [7, 8, 9, 10];
    // The platform's bound for an evacuation, from its acknowledgement on.
    const LIMIT: Duration = Duration::from_secs(5);
    let cluster = Cluster::start(78);
    for host in OTHERS {
        drop(fs::remove_file(log_file(78, host)));
    }
    let _others = OTHERS.map(|host| start_balancer(&cluster.nodes, host));
    let all = || BALANCERS.into_iter().chain(OTHERS);
    eventually("all balancers know each other", || {
        all().all(|host| log_lines(78, host, &["MU-E2121"]) > OTHERS.len())
    });
    cluster.store.set_faults(Faults {
        lose_watches: u32::try_from(all().count()).unwrap(),
        ..Faults::default()
    });
    cluster.store.evacuate("kolkata");
    let told = |event| {
        let count = |host| log_lines(78, host, &[event, "centre=kolkata"]);
        all().all(|host| count(host) > 0)
    };
    eventually("the evacuation is in force", || told("MU-E2151"));
    std::thread::sleep(Duration::from_secs(1));
    cluster.store.end_evacuation("kolkata");
    let acknowledged = Instant::now();
    while !told("MU-E2152") {
        assert!(acknowledged.elapsed() < LIMIT, "the evacuation goes on");
        std::thread::sleep(Duration::from_millis(20));
    }
}
