//! An application host: it holds flows, runs requests and sends heartbeats to its own machine.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::lab::{Lab, Record};
use crate::packet::{ACK, BOUNCED, FIN, FlowId, Packet, RST, SYN};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const IDLE_LIMIT: Duration = Duration::from_secs(15);
const HALF_OPEN_LIMIT: Duration = Duration::from_secs(3);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
const RESENDS: u32 = 8;
const CAPACITY: i64 = 4;

/// A client's packet that reached a host.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Instant,
    pub host: u8,
    pub flow: FlowId,
    pub opens: bool,
    /// The host holds the flow, or takes it with this packet.
    pub held: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// One start of a host on a machine.
pub struct Host {
    pub machine: u8,
    pub id: String,
    shared: Arc<Shared>,
}

struct Shared {
    machine: u8,
    id: String,
    service: String,
    zone: String,
    born: u64,
    control: SocketAddrV4,
    agent: SocketAddrV4,
    app: SocketAddrV4,
    record: Record,
    arrivals: Arrivals,
    alive: AtomicBool,
    draining: AtomicBool,
    sequence: AtomicU64,
}

struct Held {
    client_seq: u32,
    own_seq: u32,
    /// Next byte that the client sends.
    expected: u32,
    open: bool,
    seen: Instant,
    /// Answers that wait for their work, then for the client's acknowledgement.
    running: Option<Instant>,
    unacknowledged: Option<(Packet, Instant, Duration, u32)>,
    request: String,
    /// The host is leaving and has sent its next answer.
    last: bool,
}

impl Host {
    pub fn start(lab: &Lab, machine: u8, service: &str, zone: &str, arrivals: &Arrivals) -> std::io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let shared = Arc::new(Shared {
            machine,
            id: format!("i-{machine}-{}", born % 1_000_000),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            control: lab.address(machine, lab.ports.control),
            agent: lab.address(machine, lab.ports.outbound),
            app: lab.address(machine, lab.ports.app),
            record: lab.record.clone(),
            arrivals: Arc::clone(arrivals),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        let socket = UdpSocket::bind(shared.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(10)))?;
        shared.record.line(format!("host {} of {service} starts on machine {machine}", shared.id));
        let server = Arc::clone(&shared);
        thread::spawn(move || server.serve(&socket));
        let beats = Arc::clone(&shared);
        thread::spawn(move || {
            while beats.alive.load(Ordering::SeqCst) {
                beats.heartbeat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self { machine, id: shared.id.clone(), shared })
    }

    /// The process ends at once and keeps nothing.
    pub fn crash(&self) {
        self.shared.alive.store(false, Ordering::SeqCst);
        self.shared.record.line(format!("host {} crashes", self.id));
    }

    pub fn is_alive(&self) -> bool {
        self.shared.alive.load(Ordering::SeqCst)
    }

    /// Reports that it leaves; returns when that was acknowledged.
    pub fn drain(&self) -> Option<Instant> {
        self.shared.draining.store(true, Ordering::SeqCst);
        let acknowledged = self.shared.heartbeat().then(Instant::now);
        let text = if acknowledged.is_some() { "acknowledged" } else { "not acknowledged" };
        self.shared.record.line(format!("host {} says draining: {text}", self.id));
        acknowledged
    }

    /// Says that it is gone, and exits.
    pub fn leave(&self) {
        let path = format!("/instances/{}", self.id);
        let status = http::call(self.shared.control, "DELETE", &path, "");
        self.shared.record.line(format!("host {} leaves: {status:?}", self.id));
        self.shared.alive.store(false, Ordering::SeqCst);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.shared.alive.store(false, Ordering::SeqCst);
    }
}

impl Shared {
    fn heartbeat(&self) -> bool {
        let draining = self.draining.load(Ordering::SeqCst);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = Json::object([
            ("service", Json::text(&*self.service)),
            ("address", Json::text(self.app.to_string())),
            ("zone", Json::text(&*self.zone)),
            ("version", Json::text("v1")),
            ("capacity", Json::Number(CAPACITY)),
            ("state", Json::text(if draining { "draining" } else { "ready" })),
            ("warmupLeftMs", Json::Number(0)),
            ("sequence", Json::Number(sequence as i64)),
            ("born", Json::Number(self.born as i64)),
        ]);
        let path = format!("/instances/{}", self.id);
        let status = http::call(self.control, "PUT", &path, &body.to_string());
        status.is_some_and(|status| status / 100 == 2)
    }

    fn serve(&self, socket: &UdpSocket) {
        let mut flows: HashMap<FlowId, Held> = HashMap::new();
        let mut ended: HashMap<FlowId, Instant> = HashMap::new();
        let mut random = self.born as u32 ^ u32::from(self.machine) << 20;
        let mut buffer = [0; 2_048];
        while self.alive.load(Ordering::SeqCst) {
            let received = socket.recv(&mut buffer);
            if !self.alive.load(Ordering::SeqCst) {
                return;
            }
            if let Some(packet) = received.ok().and_then(|length| Packet::decode(&buffer[..length])) {
                random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                self.on_packet(socket, &mut flows, &mut ended, packet, random);
            }
            self.work(socket, &mut flows, &mut ended);
        }
    }

    fn on_packet(
        &self,
        socket: &UdpSocket,
        flows: &mut HashMap<FlowId, Held>,
        ended: &mut HashMap<FlowId, Instant>,
        packet: Packet,
        random: u32,
    ) {
        if !packet.is_genuine() {
            self.record.line(format!("BAD SUM at host {}: {packet:?}", self.id));
            return;
        }
        let flow = FlowId { client: packet.from, route: packet.to };
        let now = Instant::now();
        let opens = packet.has(SYN);
        let mut held = flows.get_mut(&flow);
        let half_open = held.as_ref().is_some_and(|held| !held.open);
        if half_open && !opens && held.as_ref().is_some_and(|held| packet.ack != held.own_seq.wrapping_add(1)) {
            // The client has opened its flow at another host.
            flows.remove(&flow);
            held = None;
        }
        let takes = opens || held.is_some();
        self.arrivals.lock().unwrap().push(Arrival { at: now, host: self.machine, flow, opens, held: takes });
        if opens && held.is_none() {
            ended.remove(&flow);
            self.record.line(format!("host {} takes the opening packet of {flow}", self.id));
            let own_seq = random;
            flows.insert(flow, Held {
                client_seq: packet.seq,
                own_seq,
                expected: packet.seq.wrapping_add(1),
                open: false,
                seen: now,
                running: None,
                unacknowledged: None,
                request: String::new(),
                last: false,
            });
            self.send(socket, flow, SYN | ACK, own_seq, packet.seq.wrapping_add(1), b"");
            return;
        }
        let Some(held) = flows.get_mut(&flow) else {
            self.refuse(socket, flow, ended, packet);
            return;
        };
        held.seen = now;
        if opens {
            self.send(socket, flow, SYN | ACK, held.own_seq, held.client_seq.wrapping_add(1), b"");
            return;
        }
        if !held.open {
            held.open = true;
            held.own_seq = held.own_seq.wrapping_add(1);
        }
        if packet.has(RST) {
            flows.remove(&flow);
            return;
        }
        if let Some((answer, ..)) = &held.unacknowledged
            && packet.ack == answer.seq.wrapping_add(answer.data.len() as u32)
        {
            held.unacknowledged = None;
        }
        if !packet.data.is_empty() && packet.seq == held.expected {
            held.expected = held.expected.wrapping_add(packet.data.len() as u32);
            held.request = String::from_utf8_lossy(&packet.data).into_owned();
            // A request is its name and its work in milliseconds.
            let work = held.request.rsplit(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
            held.running = Some(now + Duration::from_millis(work));
            self.record.line(format!("host {} runs {} on {flow}", self.id, held.request));
        }
        if packet.has(FIN) {
            let (seq, ack) = (held.own_seq, packet.seq.wrapping_add(1));
            flows.remove(&flow);
            ended.insert(flow, now);
            self.send(socket, flow, FIN | ACK, seq, ack, b"");
            return;
        }
        if !packet.data.is_empty() {
            let (seq, ack) = (held.own_seq, held.expected);
            self.send(socket, flow, ACK, seq, ack, b"");
        }
    }

    // Answers a packet of a flow that has ended here, or returns one of an unknown flow.
    fn refuse(&self, socket: &UdpSocket, flow: FlowId, ended: &HashMap<FlowId, Instant>, mut packet: Packet) {
        if ended.contains_key(&flow) {
            if packet.has(FIN) {
                self.send(socket, flow, ACK, packet.ack, packet.seq.wrapping_add(1), b"");
            } else if !packet.data.is_empty() {
                self.send(socket, flow, RST, packet.ack, packet.seq, b"");
            }
            return;
        }
        packet.flags |= BOUNCED;
        let _sent = socket.send_to(&packet.encode(), self.agent);
    }

    // Sends answers that are due, again those that were not acknowledged, and discards idle flows.
    fn work(&self, socket: &UdpSocket, flows: &mut HashMap<FlowId, Held>, ended: &mut HashMap<FlowId, Instant>) {
        let now = Instant::now();
        let draining = self.draining.load(Ordering::SeqCst);
        let mut closing = Vec::new();
        for (flow, held) in flows.iter_mut() {
            if held.running.is_some_and(|due| due <= now) {
                held.running = None;
                let data = format!("answer of {} to {}", self.id, held.request);
                let answer = Packet::new(flow.route, flow.client, ACK, held.own_seq, held.expected, data.as_bytes());
                held.own_seq = held.own_seq.wrapping_add(data.len() as u32);
                let _sent = socket.send_to(&answer.encode(), self.agent);
                self.record.line(format!("host {} answers {} on {flow}", self.id, held.request));
                held.unacknowledged = Some((answer, now, FIRST_RESEND, 0));
                held.seen = now;
                held.last = draining;
            }
            if let Some((answer, sent, pause, count)) = &mut held.unacknowledged
                && now - *sent >= *pause
            {
                if *count == RESENDS {
                    closing.push((*flow, false));
                    continue;
                }
                let _sent = socket.send_to(&answer.encode(), self.agent);
                *sent = now;
                *pause = (*pause * 2).min(LAST_RESEND);
                *count += 1;
                held.seen = now;
            }
            if held.last && held.unacknowledged.is_none() {
                closing.push((*flow, true));
            }
        }
        for (flow, told) in closing {
            if let Some(held) = flows.remove(&flow).filter(|_| told) {
                ended.insert(flow, now);
                self.send(socket, flow, FIN | ACK, held.own_seq, held.expected, b"");
            }
        }
        flows.retain(|_, held| {
            let limit = if held.open { IDLE_LIMIT } else { HALF_OPEN_LIMIT };
            held.running.is_some() || now - held.seen < limit
        });
        ended.retain(|_, at| now - *at < IDLE_LIMIT);
    }

    fn send(&self, socket: &UdpSocket, flow: FlowId, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(flow.route, flow.client, flags, seq, ack, data);
        let _sent = socket.send_to(&packet.encode(), self.agent);
    }
}
