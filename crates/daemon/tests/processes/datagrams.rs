use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::Duration;

use serde::Deserialize;
use usher_types::Outcome;

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, await_until};
use crate::load::{open, read};

const ROWS: &str = include_str!("data/datagrams.json");
// Each of a balancer's two traffic threads reports its counts in batches of this many datagrams.
const REPORT_BATCH: usize = 256;
const THREADS: usize = 2;
// Datagrams added at each check, since a full socket buffer may have dropped some.
const EXTRA: usize = 16;

#[derive(Deserialize)]
struct Row {
    name: String,
    // Bytes in hexadecimal, to be repeated.
    bytes: String,
    repeat: usize,
}

impl Row {
    fn datagram(&self) -> Vec<u8> {
        let byte = |at| u8::from_str_radix(&self.bytes[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..self.bytes.len()).step_by(2).map(byte).collect();
        bytes.repeat(self.repeat)
    }
}

// Adds up the counters of a role whose names end in "malformed", read from statsd lines.
fn count_malformed(statsd: &UdpSocket, role: &str, total: &mut usize) -> usize {
    let mut buffer = vec![0; 65_536];
    loop {
        match statsd.recv(&mut buffer) {
            Ok(length) => {
                let text = String::from_utf8_lossy(&buffer[..length]);
                let lines = text.lines().filter_map(|line| line.split_once(':'));
                *total += lines
                    .filter(|(name, _)| name.contains(role) && name.ends_with("malformed"))
                    .filter_map(|(_, value)| value.split('|').next()?.parse::<usize>().ok())
                    .sum::<usize>();
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return *total,
            Err(error) => panic!("statsd: {error}"),
        }
    }
}

// Guards against a datagram that ends or blocks a process, or is dropped without a count.
#[test]
fn malformed_datagrams_are_counted_and_dropped() {
    let rows: Vec<Row> = serde_json::from_str(ROWS).unwrap();
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd.set_nonblocking(true).unwrap();
    let std::net::SocketAddr::V4(address) = statsd.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address")
    };
    let mut deployment = Deployment::new("datagrams");
    deployment.statsd = Some(address);
    deployment.add_balancer(1);
    deployment.add_host(BOOKING, 1);
    deployment.distribute_to(&[1]);
    deployment.await_members(BOOKING, 1);
    let caller = deployment.caller();
    let flow = open(&caller, BOOKING, 1)[0];
    let [packets, control] = deployment.balancer_addresses(1);
    let agent = deployment.agent_address(BOOKING, 1);
    let targets: [(&str, SocketAddrV4); 3] = [
        ("balancer", packets),
        ("balancer", control),
        ("agent", agent),
    ];
    let socket = UdpSocket::bind((deployment.ip, 0)).unwrap();
    for row in &rows {
        let datagram = row.datagram();
        for (role, target) in targets {
            let mut total = 0;
            count_malformed(&statsd, role, &mut total);
            total = 0;
            for _ in 0..THREADS * REPORT_BATCH {
                socket.send_to(&datagram, target).unwrap();
            }
            let what = format!("counts of {} by the {role} at {target}", row.name);
            await_until(&what, Duration::from_secs(5), || {
                for _ in 0..EXTRA {
                    socket.send_to(&datagram, target).unwrap();
                }
                count_malformed(&statsd, role, &mut total) >= REPORT_BATCH / 2
            });
        }
        let outcome = caller.send(flow, &read()).wait(ANSWER_LIMIT);
        assert!(
            matches!(outcome, Some(Outcome::Answered(_))),
            "{}",
            row.name
        );
    }
    for process in deployment.processes.values_mut() {
        assert!(process.is_running());
    }
}
