//! Clients on a few addresses, and the routers that choose a balancer for each packet.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Truth, call};
use crate::lab::{Record, random};
use crate::packet::{ACK, FIN, Flow, Packet, RETURNED, RST, SYN};
use crate::stream::Stream;

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const RESET_WINDOW: u32 = 76_800;

/// The balancers in rotation, by their readiness.
#[derive(Debug, Clone)]
pub struct Router {
    balancers: Arc<Mutex<Vec<(SocketAddrV4, u32)>>>,
}

impl Router {
    /// Checks each balancer's readiness twice a second.
    pub fn start(balancers: &[(SocketAddrV4, SocketAddrV4)], record: &Record) -> Self {
        let router = Self { balancers: Arc::default() };
        for (packets, ready) in balancers {
            router.add(*packets, *ready, record);
        }
        router
    }

    pub fn add(&self, packets: SocketAddrV4, ready: SocketAddrV4, record: &Record) {
        let shared = Arc::clone(&self.balancers);
        shared.lock().unwrap().push((packets, 2));
        let record = record.clone();
        thread::spawn(move || {
            loop {
                let begin = Instant::now();
                let is_ready = call(ready, "GET", "/readyz", "") == Some(200);
                let mut all = shared.lock().unwrap();
                if let Some((_, misses)) = all.iter_mut().find(|(known, _)| *known == packets) {
                    let before = *misses;
                    *misses = if is_ready { 0 } else { before + 1 };
                    if (before < 2) != (*misses < 2) {
                        let state = if *misses < 2 { "in" } else { "out of" };
                        record.line(&format!("balancer {packets} is {state} rotation"));
                    }
                }
                drop(all);
                thread::sleep(Duration::from_millis(500).saturating_sub(begin.elapsed()));
            }
        });
    }

    pub fn in_rotation(&self) -> usize {
        self.balancers.lock().unwrap().iter().filter(|(_, misses)| *misses < 2).count()
    }

    fn choose(&self, flow: &Flow) -> SocketAddrV4 {
        let all = self.balancers.lock().unwrap();
        let mut usable: Vec<_> = all.iter().filter(|(_, misses)| *misses < 2).collect();
        if usable.len() * 2 < all.len() {
            usable = all.iter().collect();
        }
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in format!("{flow}").bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        usable[((hash >> 16) % usable.len() as u64) as usize].0
    }
}

/// How a client uses a flow.
#[derive(Debug, Clone)]
pub struct Plan {
    pub label: &'static str,
    pub route: SocketAddrV4,
    pub request: usize,
    pub answer: usize,
    pub pause: Duration,
    /// Requests to send; after the last one the client closes the flow.
    pub requests: u32,
    pub deadline: Duration,
}

enum Phase {
    Opening { since: Instant, copies: usize },
    Open { stream: Stream, input: Vec<u8>, waits: Option<(String, Instant)>, next_at: Instant, answered: u32 },
    Closing { since: Instant, seq: u32, ack: u32, again: Instant },
}

struct Entry {
    plan: Plan,
    isn: u32,
    first: u32,
    phase: Phase,
}

/// What has become of the clients' flows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    pub opened: u32,
    pub answered: u32,
    pub refused: u32,
    pub unopened: u32,
    pub late: u32,
    pub foreign: u32,
    /// Resets of open flows that the client accepted, and that their servers did not send.
    pub resets: u32,
}

/// What has become of an opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Waits,
    Opened,
    Refused,
    Unanswered,
}

pub struct Clients {
    outcomes: HashMap<Flow, Outcome>,
    sockets: Vec<(Ipv4Addr, UdpSocket)>,
    router: Router,
    truth: Arc<Mutex<Truth>>,
    record: Record,
    flows: HashMap<Flow, Entry>,
    port: u16,
    pub counts: Counts,
    requests: u64,
}

impl Clients {
    pub fn new(addresses: &[SocketAddrV4], router: Router, truth: Arc<Mutex<Truth>>, record: Record) -> Self {
        let open = |address: &SocketAddrV4| {
            let socket = UdpSocket::bind(address).expect("the client's address is free");
            socket.set_nonblocking(true).unwrap();
            (*address.ip(), socket)
        };
        Self {
            outcomes: HashMap::new(),
            sockets: addresses.iter().map(open).collect(),
            router,
            truth,
            record,
            flows: HashMap::new(),
            port: 20_000,
            counts: Counts::default(),
            requests: 0,
        }
    }

    /// Opens a flow from a new port.
    pub fn open(&mut self, plan: &Plan) -> Flow {
        self.port += 1;
        let ip = self.sockets[usize::from(self.port) % self.sockets.len()].0;
        let flow = Flow { client: SocketAddrV4::new(ip, self.port), route: plan.route };
        let now = Instant::now();
        let isn = random() as u32;
        let phase = Phase::Opening { since: now, copies: 0 };
        self.flows.insert(flow, Entry { plan: plan.clone(), isn, first: 0, phase });
        self.record.line(&format!("{flow} ({}) sends its opening packet", plan.label));
        self.send(&flow, SYN, isn, 0, Vec::new());
        flow
    }

    /// What has become of the opening packet of a flow.
    pub fn outcome(&self, flow: &Flow) -> Outcome {
        self.outcomes.get(flow).copied().unwrap_or(Outcome::Waits)
    }

    pub fn open_flows(&self, label: &str) -> usize {
        let open = self.flows.values().filter(|entry| entry.plan.label == label);
        open.filter(|entry| matches!(entry.phase, Phase::Open { .. })).count()
    }

    /// Runs the clients for a time.
    pub fn run(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.receive();
            self.act();
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet { from: flow.client, to: flow.route, echo: 0, flags, seq, ack, data };
        let to = self.router.choose(flow);
        let socket = self.sockets.iter().find(|(ip, _)| ip == flow.client.ip());
        if let Some((_, socket)) = socket {
            let _sent = socket.send_to(&packet.encode(), to);
        }
    }

    fn receive(&mut self) {
        let mut buffer = [0; 2_048];
        let mut packets = Vec::new();
        for (_, socket) in &self.sockets {
            while let Ok(length) = socket.recv(&mut buffer) {
                packets.extend(Packet::decode(&buffer[..length]));
            }
        }
        for (packet, intact) in packets {
            let own_reset = packet.has(RST) && packet.data.is_empty();
            if (!intact && !own_reset) || packet.has(RETURNED) {
                self.truth.lock().unwrap().changed += 1;
                self.record.line("a client got a packet that was changed");
            }
            self.on_packet(&packet);
        }
    }

    fn on_packet(&mut self, packet: &Packet) {
        let now = Instant::now();
        let flow = Flow { client: packet.to, route: packet.from };
        let Some(entry) = self.flows.get_mut(&flow) else {
            return;
        };
        match &mut entry.phase {
            Phase::Opening { .. } => {
                if packet.has(RST) {
                    self.outcomes.insert(flow, Outcome::Refused);
                    self.record.line(&format!("{flow} is refused"));
                    self.counts.refused += 1;
                    self.flows.remove(&flow);
                } else if packet.has(SYN) && packet.ack == entry.isn.wrapping_add(1) {
                    entry.first = packet.seq;
                    let stream = Stream::new(packet.ack, packet.seq.wrapping_add(1));
                    entry.phase = Phase::Open { stream, input: Vec::new(), waits: None, next_at: now, answered: 0 };
                    self.counts.opened += 1;
                    self.outcomes.insert(flow, Outcome::Opened);
                    self.record.line(&format!("{flow} is open"));
                }
            }
            Phase::Open { stream, input, waits, answered, next_at } => {
                if packet.has(RST) {
                    let distance = packet.seq.wrapping_sub(stream.received());
                    if distance.min(distance.wrapping_neg()) > RESET_WINDOW {
                        self.record.line(&format!("{flow} ignores a reset with a position that does not fit"));
                        return;
                    }
                    let waiting = waits.as_ref().map_or("no answer".to_owned(), |(id, _)| id.clone());
                    let truth = self.truth.lock().unwrap();
                    let holder = truth.open.get(&flow).cloned().unwrap_or_default();
                    let ended = truth.ended.get(&flow).cloned();
                    drop(truth);
                    self.record.line(&format!(
                        "{flow} ({}) is reset while it waits for {waiting}; server {holder}, which says: {}",
                        entry.plan.label,
                        ended.as_deref().unwrap_or("open")
                    ));
                    if ended.is_none() {
                        self.counts.resets += 1;
                    }
                    self.flows.remove(&flow);
                    return;
                }
                if packet.has(SYN) {
                    // A copy of the answer that opened the flow is acknowledged; that of another server
                    // is none of this flow.
                    if packet.seq == entry.first {
                        let (seq, ack) = (stream.sent(), stream.received());
                        self.send(&flow, ACK, seq, ack, Vec::new());
                    }
                    return;
                }
                stream.on_ack(packet.ack);
                input.extend(stream.on_data(now, packet.seq, &packet.data));
                if let Some((id, status, used)) = parse_answer(input) {
                    input.drain(..used);
                    let expected = waits.take();
                    *next_at = now + entry.plan.pause;
                    if status == "200" && expected.as_ref().is_none_or(|(wanted, _)| *wanted != id) {
                        self.counts.foreign += 1;
                        self.record.line(&format!("{flow} gets the answer to {id} for {expected:?}"));
                    }
                    self.record.line(&format!("{flow} gets {status} for {id}"));
                    self.counts.answered += 1;
                    *answered += 1;
                    if *answered >= entry.plan.requests {
                        let (seq, ack) = (stream.sent(), stream.received());
                        entry.phase = Phase::Closing { since: now, seq, ack, again: now };
                    }
                }
            }
            Phase::Closing { .. } => {
                if packet.has(FIN) || packet.has(RST) {
                    self.flows.remove(&flow);
                }
            }
        }
    }

    fn act(&mut self) {
        let now = Instant::now();
        let mut out = Vec::new();
        let mut gone = Vec::new();
        for (flow, entry) in &mut self.flows {
            match &mut entry.phase {
                Phase::Opening { since, copies } => {
                    if now - *since >= OPEN_TIMEOUT {
                        gone.push((*flow, "does not open"));
                    } else if *copies < COPIES.len() && now - *since >= COPIES[*copies] {
                        *copies += 1;
                        out.push((*flow, SYN, entry.isn, *copies as u32, Vec::new()));
                    }
                }
                Phase::Open { stream, waits, next_at, .. } => {
                    if let Some((_, since)) = waits {
                        if now - *since >= entry.plan.deadline {
                            gone.push((*flow, "gives up its request"));
                            continue;
                        }
                    } else if now >= *next_at {
                        self.requests += 1;
                        let id = format!("a{}", self.requests);
                        let head = format!(
                            "POST /slots/{} HTTP/1.1\r\nAttempt-Id: {id}\r\nContent-Length: {}\r\n\r\n",
                            entry.plan.answer, entry.plan.request
                        );
                        stream.write(head.as_bytes());
                        stream.write(&vec![b'-'; entry.plan.request]);
                        self.record.line(&format!("{flow} sends request {id}"));
                        *waits = Some((id, now));
                    }
                    for (flags, seq, ack, data) in stream.poll(now) {
                        out.push((*flow, flags, seq, ack, data));
                    }
                }
                Phase::Closing { since, seq, ack, again } => {
                    if now - *since > Duration::from_secs(2) {
                        gone.push((*flow, "is closed"));
                    } else if now >= *again {
                        *again = now + Duration::from_millis(200);
                        out.push((*flow, FIN | ACK, *seq, *ack, Vec::new()));
                    }
                }
            }
        }
        for (flow, flags, seq, ack, data) in out {
            self.send(&flow, flags, seq, ack, data);
        }
        for (flow, what) in gone {
            match what {
                "does not open" => {
                    self.counts.unopened += 1;
                    self.outcomes.insert(flow, Outcome::Unanswered);
                }
                "gives up its request" => self.counts.late += 1,
                _ => {}
            }
            if what != "is closed" {
                self.record.line(&format!("{flow} {what}"));
            }
            self.flows.remove(&flow);
        }
    }
}

// The first whole answer: the id of its request, its status and its length.
fn parse_answer(input: &[u8]) -> Option<(String, String, usize)> {
    let end = input.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let length: usize = field("Content-Length:")?.parse().ok()?;
    let used = end + 4 + length;
    let status = head.split_whitespace().nth(1)?.to_owned();
    (input.len() >= used).then_some((field("Attempt-Id:").unwrap_or_default(), status, used))
}
