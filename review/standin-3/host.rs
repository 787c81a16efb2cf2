//! A backend server with its heartbeats.

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::lab::{Record, random};
use crate::packet::{ACK, FIN, Flow, Packet, RETURNED, RST, SYN};
use crate::stream::Stream;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const GIVE_UP: u32 = 8;
const ENDED_FOR: Duration = Duration::from_secs(10);
const QUEUE: usize = 12;

/// What clients and servers know together, for the check at the end.
#[derive(Debug, Default)]
pub struct Truth {
    /// Server that holds each open flow.
    pub open: HashMap<Flow, String>,
    /// Flows that a server has reset or given up.
    pub ended: HashMap<Flow, String>,
    /// How often each request has run.
    pub runs: HashMap<String, u32>,
    /// How many requests each server has run.
    pub served: HashMap<String, u32>,
    /// Packets that did not arrive as they were sent.
    pub changed: u32,
}

#[derive(Debug, Clone)]
pub struct HostSettings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
    pub work: Duration,
}

#[derive(Debug)]
pub struct Host {
    pub frozen: Arc<AtomicBool>,
    pub beats: Arc<AtomicU64>,
}

enum State {
    Half { iss: u32, client: u32, retry_at: Instant, tries: u32 },
    Open { stream: Stream, iss: u32, input: Vec<u8>, queued: usize, closing: bool },
}

struct Work {
    flow: Flow,
    id: String,
    bytes: usize,
    until: Option<Instant>,
}

impl Host {
    pub fn start(settings: &HostSettings, truth: Arc<Mutex<Truth>>, record: Record) -> Self {
        let frozen = Arc::new(AtomicBool::new(false));
        let beats = Arc::new(AtomicU64::new(0));
        let socket = UdpSocket::bind(settings.app).expect("the server's address is free");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let (own, still) = (settings.clone(), Arc::clone(&frozen));
        let log = record.clone();
        thread::spawn(move || serve(&own, &socket, &still, &truth, &log));
        let (own, still, count) = (settings.clone(), Arc::clone(&frozen), Arc::clone(&beats));
        thread::spawn(move || beat(&own, &still, &count));
        Self { frozen, beats }
    }
}

fn beat(settings: &HostSettings, frozen: &AtomicBool, beats: &AtomicU64) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut sequence = 0;
    loop {
        if !frozen.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
                settings.service, settings.app, settings.zone, settings.slots
            );
            let path = format!("/instances/i-{}", settings.name);
            if call(settings.control, "PUT", &path, &body) == Some(200) {
                beats.fetch_add(1, Ordering::Relaxed);
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

/// Makes an HTTP call; returns the status of an answer that comes within a second.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let second = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), second).ok()?;
    stream.set_read_timeout(Some(second)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn serve(
    settings: &HostSettings,
    socket: &UdpSocket,
    frozen: &AtomicBool,
    truth: &Mutex<Truth>,
    record: &Record,
) {
    let mut flows: HashMap<Flow, State> = HashMap::new();
    let mut ended: HashMap<Flow, Instant> = HashMap::new();
    let mut work: VecDeque<Work> = VecDeque::new();
    let mut buffer = [0; 2_048];
    let send = |packet: &Packet| {
        // The send fails while the node on this machine is down.
        let _sent = socket.send_to(&packet.encode(), settings.outbound);
    };
    loop {
        if frozen.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        if let Ok(length) = socket.recv(&mut buffer)
            && let Some((packet, intact)) = Packet::decode(&buffer[..length])
        {
            if !intact || packet.has(RETURNED) {
                truth.lock().unwrap().changed += 1;
                record.line(&format!("{} got a packet that was changed", settings.name));
            }
            on_packet(settings, &packet, &mut flows, &mut ended, &mut work, truth, record, &send);
        }
        let now = Instant::now();
        finish_work(settings, now, &mut flows, &mut work, truth, record);
        let mut lost = Vec::new();
        for (flow, state) in &mut flows {
            match state {
                State::Half { iss, client, retry_at, tries } => {
                    if now >= *retry_at {
                        *tries += 1;
                        *retry_at = now + Duration::from_millis(200 << (*tries).min(3));
                        send(&reply(flow, SYN | ACK, *iss, *client, Vec::new()));
                        if *tries > GIVE_UP {
                            lost.push(*flow);
                        }
                    }
                }
                State::Open { stream, .. } => {
                    for (flags, seq, ack, data) in stream.poll(now) {
                        send(&reply(flow, flags, seq, ack, data));
                    }
                    if stream.retries > GIVE_UP {
                        lost.push(*flow);
                    }
                }
            }
        }
        for flow in lost {
            if matches!(flows.remove(&flow), Some(State::Open { .. })) {
                truth.lock().unwrap().ended.insert(flow, format!("given up by {}", settings.name));
                ended.insert(flow, now);
            }
        }
        ended.retain(|_, at| now - *at < ENDED_FOR);
    }
}

fn reply(flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet { from: flow.route, to: flow.client, echo: 0, flags, seq, ack, data }
}

#[expect(clippy::too_many_arguments, reason = "the state of one server")]
fn on_packet(
    settings: &HostSettings,
    packet: &Packet,
    flows: &mut HashMap<Flow, State>,
    ended: &mut HashMap<Flow, Instant>,
    work: &mut VecDeque<Work>,
    truth: &Mutex<Truth>,
    record: &Record,
    send: &impl Fn(&Packet),
) {
    let now = Instant::now();
    let flow = Flow { client: packet.from, route: packet.to };
    let bounce = |packet: &Packet| {
        let mut back = packet.clone();
        back.flags |= RETURNED;
        send(&back);
    };
    if packet.opens() {
        match flows.get(&flow) {
            // A copy of the opening packet of a known flow is answered as before.
            Some(State::Half { iss, client, .. }) if packet.seq.wrapping_add(1) == *client => {
                send(&reply(&flow, SYN | ACK, *iss, *client, Vec::new()));
            }
            Some(State::Open { iss, .. }) => {
                record.line(&format!("{} answers a copy of the opening packet of {flow}, which is open", settings.name));
                send(&reply(&flow, SYN | ACK, *iss, packet.seq.wrapping_add(1), Vec::new()));
            }
            _ => {
                let (iss, client) = (random() as u32, packet.seq.wrapping_add(1));
                ended.remove(&flow);
                let retry_at = now + Duration::from_millis(200);
                flows.insert(flow, State::Half { iss, client, retry_at, tries: 0 });
                send(&reply(&flow, SYN | ACK, iss, client, Vec::new()));
            }
        }
        return;
    }
    if let Some(State::Half { iss, client, .. }) = flows.get(&flow) {
        let (iss, client) = (*iss, *client);
        if packet.ack != iss.wrapping_add(1) {
            return bounce(packet);
        }
        let stream = Stream::new(iss.wrapping_add(1), client);
        let state = State::Open { stream, iss, input: Vec::new(), queued: 0, closing: false };
        flows.insert(flow, state);
        let mut truth = truth.lock().unwrap();
        truth.open.insert(flow, settings.name.clone());
    }
    let Some(State::Open { stream, input, queued, closing, .. }) = flows.get_mut(&flow) else {
        if !ended.contains_key(&flow) {
            return bounce(packet);
        }
        if packet.has(FIN) {
            send(&reply(&flow, ACK, packet.ack, packet.seq.wrapping_add(1), Vec::new()));
        } else if !packet.data.is_empty() {
            send(&reply(&flow, RST, packet.ack, 0, Vec::new()));
        }
        return;
    };
    if packet.has(RST) {
        flows.remove(&flow);
        truth.lock().unwrap().ended.insert(flow, "reset by its client".to_owned());
        return;
    }
    stream.on_ack(packet.ack);
    input.extend(stream.on_data(now, packet.seq, &packet.data));
    while let Some((id, bytes, used)) = parse_request(input) {
        input.drain(..used);
        if work.len() >= settings.slots + QUEUE {
            stream.write(b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        *queued += 1;
        work.push_back(Work { flow, id, bytes, until: None });
    }
    if packet.has(FIN) && packet.seq.wrapping_add(packet.data.len() as u32) == stream.received() {
        *closing = true;
    }
    if *closing && *queued == 0 && stream.is_acked() {
        let (seq, ack) = (stream.sent(), stream.received().wrapping_add(1));
        send(&reply(&flow, FIN | ACK, seq, ack, Vec::new()));
        flows.remove(&flow);
        truth.lock().unwrap().ended.insert(flow, "closed".to_owned());
        ended.insert(flow, now);
    }
}

// Starts waiting requests while slots are free, and answers those that are done.
fn finish_work(
    settings: &HostSettings,
    now: Instant,
    flows: &mut HashMap<Flow, State>,
    work: &mut VecDeque<Work>,
    truth: &Mutex<Truth>,
    record: &Record,
) {
    for item in work.iter_mut().take(settings.slots) {
        if item.until.is_none() {
            item.until = Some(now + settings.work);
            let mut truth = truth.lock().unwrap();
            *truth.runs.entry(item.id.clone()).or_default() += 1;
            *truth.served.entry(settings.name.clone()).or_default() += 1;
            drop(truth);
            record.line(&format!("{} ({}) runs {} of {}", settings.name, settings.service, item.id, item.flow));
        }
    }
    work.retain(|item| {
        if item.until.is_none_or(|until| now < until) {
            return true;
        }
        if let Some(State::Open { stream, queued, .. }) = flows.get_mut(&item.flow) {
            let head = format!(
                "HTTP/1.1 200 OK\r\nResponse-Signature: {}\r\nAttempt-Id: {}\r\nContent-Length: {}\r\n\r\n",
                settings.name, item.id, item.bytes
            );
            stream.write(head.as_bytes());
            stream.write(&vec![b'.'; item.bytes]);
            *queued -= 1;
        }
        false
    });
}

// The first whole request: its id, the length of the wanted answer, and its own length.
fn parse_request(input: &[u8]) -> Option<(String, usize, usize)> {
    let text = String::from_utf8_lossy(input);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let length: usize = field("Content-Length:")?.parse().ok()?;
    let used = head.len() + 4 + length;
    let bytes = head.split_whitespace().nth(1)?.rsplit('/').next()?.parse().ok()?;
    (input.len() >= used).then_some((field("Attempt-Id:")?, bytes, used))
}
