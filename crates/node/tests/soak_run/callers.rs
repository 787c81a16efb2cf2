use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;
use rand_pcg::Pcg64;
use usher_forwarding::{Flags, Head};
use usher_platform::{HEAD_BYTES, head, packet};
use usher_platform_standin::{Nodes, PACKETS};

use super::ROUTES;

const CALLER: u8 = 4;
const MOST: usize = 60;
const PACE: Duration = Duration::from_millis(10);
const OPEN_PACE: Duration = Duration::from_millis(40);
const REPEAT: Duration = Duration::from_millis(200);
// Callers give up on a flow that does not open within this time.
const GIVE_UP: Duration = Duration::from_secs(3);
// After the faults, packets are answered within this time.
const ANSWER: Duration = Duration::from_secs(3);
// Routes that stay in force.
const LASTING: usize = 2;

#[derive(Debug)]
struct Flow {
    route: usize,
    begun: Instant,
    open: bool,
    /// Position at which the backend server began the flow.
    first: u32,
    /// Service, machine and start of the backend server, from its first answer.
    answer: Option<String>,
    /// When a packet was sent that has no answer yet, and when it is sent next.
    waiting: Option<(Instant, Instant)>,
}

/// Callers that keep flows open and send on them by changing balancers.
pub struct Callers {
    nodes: Nodes,
    socket: UdpSocket,
    random: Pcg64,
    flows: IndexMap<u16, Flow>,
    lost: IndexMap<u8, Instant>,
    port: u16,
    opened_at: Instant,
    counts: IndexMap<&'static str, usize>,
}

impl Callers {
    pub fn new(nodes: &Nodes, random: Pcg64) -> Self {
        let socket = UdpSocket::bind(nodes.address(CALLER, PACKETS)).unwrap();
        socket.set_read_timeout(Some(PACE)).unwrap();
        Self {
            nodes: nodes.clone(),
            socket,
            random,
            flows: IndexMap::new(),
            lost: IndexMap::new(),
            port: 1_000,
            opened_at: Instant::now(),
            counts: IndexMap::new(),
        }
    }

    pub fn counts(&self) -> &IndexMap<&'static str, usize> {
        &self.counts
    }

    /// A backend server ends and takes its flows with it.
    pub fn lose_host(&mut self, now: Instant, host: u8) {
        self.lost.insert(host, now);
    }

    /// Opens a flow, sends on another one, repeats what is unanswered and takes what arrives.
    pub fn step(&mut self, now: Instant, balancers: &[u8]) {
        if self.flows.len() < MOST && now - self.opened_at >= OPEN_PACE {
            self.opened_at = now;
            self.open(now);
        }
        if !self.flows.is_empty() {
            let index = self.random.random_range(0..self.flows.len());
            let flow = &mut self.flows[index];
            if flow.open && flow.waiting.is_none() {
                flow.waiting = Some((now, now));
            }
        }
        self.send(now, balancers);
        self.receive();
    }

    /// Every open flow whose backend server lived is answered, and new flows are taken.
    pub fn assert_served(&mut self, balancers: &[u8]) {
        let begin = Instant::now();
        self.flows.retain(|_, flow| flow.open);
        for flow in self.flows.values_mut() {
            flow.waiting = Some((begin, begin));
        }
        for _ in 0..20 {
            self.open(begin);
        }
        while begin.elapsed() < ANSWER {
            self.send(Instant::now(), balancers);
            self.receive();
        }
        let lost = &self.lost;
        for (port, flow) in &self.flows {
            let served = flow.open && flow.waiting.is_none();
            let lasting = flow.route < LASTING;
            // A flow that never had an answer may have been with a backend server that ended.
            let unknown = flow.answer.is_none() && lost.values().any(|lost| *lost > flow.begun);
            assert!(served || !lasting || unknown, "flow {port}: {flow:?}");
        }
    }

    fn open(&mut self, now: Instant) {
        self.port += 1;
        let flow = Flow {
            route: self.random.random_range(0..ROUTES.len()),
            begun: now,
            open: false,
            first: 0,
            answer: None,
            waiting: Some((now, now)),
        };
        self.flows.insert(self.port, flow);
        self.count("opened");
    }

    fn send(&mut self, now: Instant, balancers: &[u8]) {
        let mut given_up = Vec::new();
        let mut packets = Vec::new();
        for (port, flow) in &mut self.flows {
            let Some((since, due)) = flow.waiting else {
                continue;
            };
            if !flow.open && now - since > GIVE_UP {
                given_up.push(*port);
            } else if now >= due {
                flow.waiting = Some((since, now + REPEAT));
                packets.push((*port, flow.route, flow.open, flow.first));
            }
        }
        for port in given_up {
            self.flows.swap_remove(&port);
            self.count("given up");
        }
        for (port, route, open, first) in packets {
            // As routers do: by the flow, over those in rotation.
            let Some(balancer) = balancers.get(usize::from(port) % balancers.len().max(1)) else {
                continue;
            };
            let packet = self.packet(port, route, open, first);
            let to = self.nodes.address(*balancer, PACKETS);
            // A balancer that is down refuses; the packet is repeated.
            drop(self.socket.send_to(&packet, to));
        }
    }

    fn packet(&self, port: u16, route: usize, open: bool, first: u32) -> Vec<u8> {
        let (address, target, _) = ROUTES[route];
        let mut source = self.nodes.address(CALLER, 0);
        source.set_port(port);
        let head = Head {
            source,
            target: SocketAddrV4::new(address.parse().unwrap(), target),
            flags: Flags {
                opening: !open,
                acknowledging: open,
                ..Flags::default()
            },
            sequence: 0,
            acknowledged: first,
            data: 0,
            token: 0,
        };
        packet(&head, b"")
    }

    fn receive(&mut self) {
        let mut buffer = [0; 2_048];
        loop {
            match self.socket.recv(&mut buffer) {
                Ok(length) => self.take(&buffer[..length]),
                Err(fault)
                    if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    return;
                }
                // A balancer that is down refused a packet.
                Err(_) => {}
            }
        }
    }

    fn take(&mut self, packet: &[u8]) {
        let head = head(packet).expect("nodes send whole packets");
        let port = head.target.port();
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if head.flags.resetting {
            let flow = self.flows.swap_remove(&port).unwrap();
            if flow.open {
                self.assert_lost(port, &flow);
                self.count("reset with their hosts");
            } else {
                self.count("refused");
            }
            return;
        }
        if head.flags.opening {
            if !flow.open {
                flow.open = true;
                flow.first = head.sequence;
                flow.waiting = None;
                self.count("taken");
            }
            return;
        }
        let answer = String::from_utf8(packet[HEAD_BYTES..].to_vec()).unwrap();
        let (_, _, service) = ROUTES[flow.route];
        assert!(
            answer.starts_with(service),
            "flow {port} to {service}: {answer}"
        );
        let known = flow.answer.get_or_insert_with(|| answer.clone());
        assert_eq!(*known, answer, "flow {port} moved");
        flow.waiting = None;
        self.count("answered");
    }

    // An open flow is reset only if its backend server has ended, or if a configuration has dropped
    // its route: a copy of its first packet is then refused.
    fn assert_lost(&self, port: u16, flow: &Flow) {
        if flow.route >= LASTING {
            return;
        }
        let host = flow.answer.as_ref().and_then(|answer| {
            let host = answer.split(' ').nth(1)?;
            host.parse::<u8>().ok()
        });
        let lost = match host {
            Some(host) => self.lost.get(&host).is_some_and(|lost| *lost > flow.begun),
            None => self.lost.values().any(|lost| *lost > flow.begun),
        };
        assert!(lost, "flow {port} was reset while its host lived: {flow:?}");
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }
}
