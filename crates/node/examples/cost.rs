//! Measures the costs of a balancer and an agent on this machine: idle, and for each packet.
//!
//! `cargo run --release -p usher-node --example cost -- target/release/marigoldusher-node`

use std::fs;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use usher_platform_standin::{Deployment, Process, eventually, receive};

const NET: u8 = 31;
const PACKETS: u32 = 100_000;
// One packet every 50 us: 20,000 per second, which both nodes carry without loss on this machine.
const SEND_INTERVAL: Duration = Duration::from_micros(50);
const IDLE_TIME: Duration = Duration::from_secs(10);
const ACK_FLAG: u8 = 64;
const MICROS_PER_TICK: f64 = 10_000.0;

fn main() {
    let program = std::env::args()
        .nth(1)
        .expect("the first argument is the path of the node");
    let folder = std::env::temp_dir();
    let deployment = Deployment::start(NET, Path::new(&program), &folder);
    eventually("the balancer is ready", || deployment.ready() == 200);
    eventually("a heartbeat is acknowledged", || {
        deployment.heartbeat("ready", 1) == 200
    });
    let nodes = [
        ("balancer", &deployment.balancer),
        ("agent", &deployment.agent),
    ];
    let start = nodes.map(|(_, node)| micros(node));
    thread::sleep(IDLE_TIME);
    for ((name, node), before) in nodes.iter().zip(start) {
        let idle = (micros(node) - before) / IDLE_TIME.as_secs_f64();
        println!(
            "{name}: started with {before} us, idle {idle:.0} us/s, peak {} kB, {} threads",
            status(node, "VmHWM:"),
            status(node, "Threads:")
        );
    }
    // Sends later packets of one flow; another thread drains the backend server's socket.
    let mut packet = deployment.await_flow(1_000);
    packet[14..18].fill(0);
    packet[18] = ACK_FLAG;
    let backend = deployment
        .backend
        .try_clone()
        .expect("the socket can be duplicated");
    thread::spawn(move || while receive(&backend).is_some() {});
    let before = nodes.map(|(_, node)| (micros(node), switches(node)));
    let begin = Instant::now();
    for number in 0..PACKETS {
        while begin.elapsed() < SEND_INTERVAL * number {
            thread::sleep(SEND_INTERVAL);
        }
        deployment.send(&packet);
    }
    thread::sleep(Duration::from_millis(500));
    for ((name, node), (time, waits)) in nodes.iter().zip(before) {
        let count = f64::from(PACKETS);
        println!(
            "{name}: {:.2} us a packet, {:.2} wake-ups a packet",
            (micros(node) - time) / count,
            (switches(node) - waits) / count
        );
    }
}

// Processor time of a process, in microseconds.
fn micros(node: &Process) -> f64 {
    let stat = read(node, "stat");
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .map(|field| field.parse::<f64>().unwrap_or(0.0))
        .sum::<f64>()
        * MICROS_PER_TICK
}

// Voluntary context switches of all threads of a process.
fn switches(node: &Process) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{}/task", node.id()))
        .into_iter()
        .flatten();
    let counts = tasks.flatten().map(|task| {
        let text = fs::read_to_string(task.path().join("status")).unwrap_or_default();
        field(&text, "voluntary_ctxt_switches:")
            .parse::<f64>()
            .unwrap_or(0.0)
    });
    counts.sum()
}

fn status(node: &Process, name: &str) -> String {
    field(&read(node, "status"), name)
}

fn field(text: &str, name: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.unwrap_or_default().split_whitespace().next();
    value.unwrap_or_default().to_owned()
}

fn read(node: &Process, file: &str) -> String {
    fs::read_to_string(format!("/proc/{}/{file}", node.id())).unwrap_or_default()
}
