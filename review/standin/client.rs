//! The platform's routers and clients.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::lab::{Lab, Record};
use crate::packet::{ACK, FIN, FlowId, Packet, RST, SYN};

const PROBE: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;
const COPIES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
// How far a reset of the system may be from what the client has acknowledged.
const RESET_WINDOW: u32 = 76_800;

/// The routers of one zone: a hash over the balancers in rotation, as `mod` says.
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<(Ipv4Addr, u32)>>>,
    record: Record,
}

impl Router {
    pub fn start(lab: &Lab, nodes: &[Ipv4Addr]) -> Self {
        let all = nodes.iter().map(|node| (*node, MISSES)).collect();
        let router = Self { nodes: Arc::new(Mutex::new(all)), record: lab.record.clone() };
        for (index, node) in nodes.iter().enumerate() {
            let (router, ready) = (router.clone(), SocketAddrV4::new(*node, lab.ports.ready));
            thread::spawn(move || {
                loop {
                    let begun = Instant::now();
                    router.probe(index, http::call(ready, "GET", "/readyz", "") == Some(200));
                    thread::sleep(PROBE.saturating_sub(begun.elapsed()));
                }
            });
        }
        router
    }

    fn probe(&self, index: usize, ready: bool) {
        let mut nodes = self.nodes.lock().unwrap();
        let (node, misses) = &mut nodes[index];
        let before = *misses < MISSES;
        *misses = if ready { 0 } else { (*misses + 1).min(MISSES) };
        if before != (*misses < MISSES) {
            let text = if before { "leaves" } else { "joins" };
            self.record.line(format!("balancer {node} {text} the rotation"));
        }
    }

    /// Balancers in rotation; all, if fewer than half are.
    pub fn rotation(&self) -> Vec<Ipv4Addr> {
        let nodes = self.nodes.lock().unwrap();
        let inside: Vec<_> = nodes.iter().filter(|(_, misses)| *misses < MISSES).collect();
        let used = if inside.len() * 2 < nodes.len() { nodes.iter().collect() } else { inside };
        used.into_iter().map(|(node, _)| *node).collect()
    }

    pub fn in_rotation(&self) -> usize {
        let nodes = self.nodes.lock().unwrap();
        nodes.iter().filter(|(_, misses)| *misses < MISSES).count()
    }

    fn pick(&self, flow: &FlowId) -> Ipv4Addr {
        let rotation = self.rotation();
        let parts = [
            u32::from(*flow.client.ip()),
            flow.client.port().into(),
            u32::from(*flow.route.ip()),
            flow.route.port().into(),
        ];
        let mix = |hash: u32, part: &u32| (hash ^ part).wrapping_mul(0x9e37_79b1).rotate_left(13);
        let hash = parts.iter().fold(7, mix);
        rotation[hash as usize % rotation.len()]
    }
}

type Inbox = Arc<Mutex<HashMap<FlowId, Sender<Packet>>>>;

/// One client machine.
#[derive(Clone)]
pub struct Client {
    address: Ipv4Addr,
    port: u16,
    socket: Arc<UdpSocket>,
    inbox: Inbox,
    router: Router,
    record: Record,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No host accepted the flow.
    NotOpened,
    /// The system reset the flow.
    SystemReset,
    /// The host reset or closed the flow.
    HostEnded,
    /// The deadline passed.
    Deadline,
}

/// An open flow of a client.
pub struct Flow {
    client: Client,
    pub id: FlowId,
    packets: Receiver<Packet>,
    seq: u32,
    ack: u32,
}

impl Client {
    pub fn start(lab: &Lab, machine: u8, router: &Router) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(lab.address(machine, lab.ports.packets))?;
        let client = Self {
            address: lab.ip(machine),
            port: lab.ports.packets,
            socket: Arc::new(socket),
            inbox: Inbox::default(),
            router: router.clone(),
            record: lab.record.clone(),
        };
        let receiver = client.clone();
        thread::spawn(move || receiver.receive());
        Ok(client)
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok(length) = self.socket.recv(&mut buffer) else { continue };
            let Some(packet) = Packet::decode(&buffer[..length]) else { continue };
            let flow = FlowId { client: packet.to, route: packet.from };
            if !packet.is_genuine() && !packet.is_system_reset() {
                self.record.line(format!("BAD SUM at the client: {packet:?}"));
            } else if let Some(inbox) = self.inbox.lock().unwrap().get(&flow) {
                let _sent = inbox.send(packet);
            }
        }
    }

    /// Opens a flow from a port.
    pub fn open(&self, port: u16, route: SocketAddrV4) -> Result<Flow, Failure> {
        let id = FlowId { client: SocketAddrV4::new(self.address, port), route };
        let (sender, packets) = channel();
        self.inbox.lock().unwrap().insert(id, sender);
        let seq = u32::from(port) << 12;
        let mut flow = Flow { client: self.clone(), id, packets, seq, ack: 0 };
        let begun = Instant::now();
        for (copy, due) in COPIES.iter().enumerate() {
            flow.send(SYN, seq, copy as u32, b"");
            let next = COPIES.get(copy + 1).copied().unwrap_or(OPEN_LIMIT);
            debug_assert!(*due < next);
            while let Some(packet) = flow.next(begun + next) {
                if packet.has(RST) {
                    return Err(Failure::SystemReset);
                }
                if packet.has(SYN) && packet.ack == seq.wrapping_add(1) {
                    flow.seq = packet.ack;
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.send(ACK, flow.seq, flow.ack, b"");
                    return Ok(flow);
                }
            }
        }
        Err(Failure::NotOpened)
    }
}

impl Flow {
    /// Sends a request and waits for its answer.
    pub fn request(&mut self, text: &str, limit: Duration) -> Result<String, Failure> {
        self.client.record.line(format!("client sends {text} on {}", self.id));
        let outcome = self.exchange(text, limit);
        match &outcome {
            Ok(answer) => self.client.record.line(format!("client gets {answer:?}")),
            Err(failure) => self.client.record.line(format!("client gives up {text} on {}: {failure:?}", self.id)),
        }
        outcome
    }

    fn exchange(&mut self, text: &str, limit: Duration) -> Result<String, Failure> {
        let end = Instant::now() + limit;
        let seq = self.seq;
        self.seq = seq.wrapping_add(text.len() as u32);
        let mut pause = FIRST_RESEND;
        let mut received = false;
        while Instant::now() < end {
            if !received {
                self.send(ACK, seq, self.ack, text.as_bytes());
            }
            let until = (Instant::now() + pause).min(end);
            while let Some(packet) = self.next(until) {
                received |= !packet.has(SYN) && packet.ack == self.seq;
                if let Some(answer) = self.take(&packet)? {
                    return Ok(answer);
                }
            }
            pause = (pause * 2).min(LAST_RESEND);
        }
        Err(Failure::Deadline)
    }

    /// Keeps the flow without a request until a time.
    pub fn idle(&mut self, until: Instant) -> Result<(), Failure> {
        while let Some(packet) = self.next(until) {
            self.take(&packet)?;
        }
        Ok(())
    }

    /// Closes the flow.
    pub fn close(self) {
        let until = Instant::now() + FIRST_RESEND;
        self.send(FIN | ACK, self.seq, self.ack, b"");
        while let Some(packet) = self.next(until) {
            if packet.has(FIN) {
                self.send(ACK, self.seq.wrapping_add(1), packet.seq.wrapping_add(1), b"");
                return;
            }
        }
    }

    // Takes a packet of an open flow; returns the data that it brings.
    fn take(&mut self, packet: &Packet) -> Result<Option<String>, Failure> {
        if packet.is_system_reset() {
            let distance = packet.seq.wrapping_sub(self.ack);
            let distance = distance.min(distance.wrapping_neg());
            if distance > RESET_WINDOW {
                self.client.record.line(format!("client ignores a reset of {}", self.id));
                return Ok(None);
            }
            self.client.record.line(format!("client gets a RESET of the system on {}", self.id));
            return Err(Failure::SystemReset);
        }
        if packet.has(RST) || packet.has(FIN) {
            return Err(Failure::HostEnded);
        }
        if packet.has(SYN) {
            return Ok(None);
        }
        if packet.data.is_empty() || packet.seq != self.ack {
            if !packet.data.is_empty() {
                self.send(ACK, self.seq, self.ack, b"");
            }
            return Ok(None);
        }
        self.ack = self.ack.wrapping_add(packet.data.len() as u32);
        self.send(ACK, self.seq, self.ack, b"");
        Ok(Some(String::from_utf8_lossy(&packet.data).into_owned()))
    }

    fn next(&self, until: Instant) -> Option<Packet> {
        self.packets.recv_timeout(until.saturating_duration_since(Instant::now())).ok()
    }

    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.id.client, self.id.route, flags, seq, ack, data);
        let to = SocketAddrV4::new(self.client.router.pick(&self.id), self.client.port);
        let _sent = self.client.socket.send_to(&packet.encode(), to);
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.client.inbox.lock().unwrap().remove(&self.id);
    }
}
