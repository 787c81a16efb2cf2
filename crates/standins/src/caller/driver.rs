use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use socket2::SockRef;
use usher_types::{Attempt, Body, FlowId, Outcome, Packet, Payload, RequestKey, Span, Time};
use usher_wire::{Meta, RequestMessage, ResponseMessage, decode_packet, encode_packet};

use super::args::CallerArgs;
use super::connection::{Connection, UnansweredRequest};
use super::tally::Tally;
use crate::clock;

const MAX_DATAGRAM_BYTES: usize = 65_536;
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;
const FLOWS_PER_ADDRESS: usize = 50_000;
const FIRST_PORT: u16 = 10_000;
// A flow counts as broken when a request on it has no answer this long after its deadline.
const ANSWER_GRACE: Span = Span::from_secs(5);
// A socket's read timeout must not be zero.
const MIN_WAIT: Duration = Duration::from_micros(50);
const SECOND: Span = Span::from_secs(1);

/// Generates the load of one caller process.
#[derive(Debug)]
pub(crate) struct Driver {
    args: CallerArgs,
    socket: UdpSocket,
    rng: Pcg64,
    start: Time,
    flows: IndexMap<FlowId, Connection>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    tally: Tally,
    next_id: u64,
    outstanding: u64,
}

// An action at a scheduled time; `usize` is an index of a flow or load, `u32` a message number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Open(usize),
    Request(usize),
    Timer(usize),
    Expiry(usize, u32),
    Progress,
}

impl Driver {
    pub(crate) fn new(args: CallerArgs) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.connect(args.fabric)?;
        let rng = Pcg64::seed_from_u64(args.seed);
        Ok(Self {
            args,
            socket,
            rng,
            start: clock::now(),
            flows: IndexMap::new(),
            events: BinaryHeap::new(),
            tally: Tally::default(),
            next_id: 0,
            outstanding: 0,
        })
    }

    pub(crate) fn run(mut self) -> io::Result<Tally> {
        self.schedule();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Some(Reverse((time, event))) = self.events.peek().copied() {
            let now = clock::now();
            if time <= now {
                self.events.pop();
                self.handle(now, time, event);
            } else {
                self.receive(&mut buffer, Duration::from_micros((time - now).as_micros()))?;
            }
            if self.is_done(now) {
                break;
            }
        }
        Ok(self.tally)
    }

    // Spreads the opening of flows evenly over the ramp; the requests of each load then follow a
    // Poisson process.
    fn schedule(&mut self) {
        let loads = self.args.load.clone();
        let total: usize = loads.iter().map(|load| load.flows).sum();
        for (index, load) in loads.iter().enumerate() {
            for _ in 0..load.flows {
                let number = self.flows.len();
                let flow = self.flow_id(number, load.address);
                self.flows.insert(flow, Connection::new(flow));
                let at = self.start + self.args.ramp.scale(number as f64 / total as f64);
                self.events.push(Reverse((at, Event::Open(number))));
            }
            self.events.push(Reverse((
                self.start + self.args.ramp,
                Event::Request(index),
            )));
        }
        if self.args.progress {
            self.events
                .push(Reverse((self.start + SECOND, Event::Progress)));
        }
    }

    fn flow_id(&mut self, number: usize, service: SocketAddrV4) -> FlowId {
        let base = u32::from(self.args.address) + (number / FLOWS_PER_ADDRESS) as u32;
        let port = FIRST_PORT + (number % FLOWS_PER_ADDRESS) as u16;
        let caller = SocketAddrV4::new(Ipv4Addr::from(base), port);
        FlowId {
            caller,
            service,
            nonce: self.rng.random(),
        }
    }

    fn end(&self) -> Time {
        self.start + self.args.ramp + self.args.duration
    }

    fn is_done(&self, now: Time) -> bool {
        now > self.end() && self.outstanding == 0
    }

    fn handle(&mut self, now: Time, scheduled: Time, event: Event) {
        match event {
            Event::Open(flow) => {
                let packet = self.flows[flow].open(now);
                self.send(&packet);
                self.arm_timer(flow);
            }
            Event::Request(load) => self.request(now, scheduled, load),
            Event::Timer(flow) => self.handle_timer(now, flow),
            Event::Expiry(flow, message) => self.expire(flow, message),
            Event::Progress => {
                println!("{}", self.tally);
                if now < self.end() {
                    self.events.push(Reverse((now + SECOND, Event::Progress)));
                }
            }
        }
    }

    fn handle_timer(&mut self, now: Time, flow: usize) {
        let connection = &mut self.flows[flow];
        if connection.next_timer().is_none_or(|due| due > now) {
            return;
        }
        let packets = connection.tick(now);
        self.send_all(&packets);
        self.arm_timer(flow);
    }

    fn arm_timer(&mut self, flow: usize) {
        if let Some(due) = self.flows[flow].next_timer() {
            self.events.push(Reverse((due, Event::Timer(flow))));
        }
    }

    // Schedules the next request from the scheduled time of this one, so that delays do not add up.
    fn request(&mut self, now: Time, scheduled: Time, load: usize) {
        if now >= self.end() {
            return;
        }
        let rate = self.args.load[load].rate.get();
        let interval = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        self.events.push(Reverse((
            scheduled + Span::from_secs_f64(interval),
            Event::Request(load),
        )));
        if let Some(flow) = self.pick_flow(load) {
            self.send_request(now, load, flow);
        }
    }

    // A random flow of the load, if it is open.
    fn pick_flow(&mut self, load: usize) -> Option<usize> {
        let first: usize = self.args.load[..load]
            .iter()
            .map(|earlier| earlier.flows)
            .sum();
        let count = self.args.load[load].flows;
        let picked = first + self.rng.random_range(0..count);
        self.flows[picked].is_open().then_some(picked)
    }

    fn send_request(&mut self, now: Time, load: usize, flow: usize) {
        self.next_id += 1;
        let id = self.next_id;
        let spec = &self.args.load[load];
        let request = RequestMessage {
            id: id.into(),
            method: spec.method.clone(),
            meta: Meta {
                key: RequestKey::new(self.rng.random()),
                once: spec.once,
                deadline_ms: Some(spec.deadline.as_millis()),
                attempt: Attempt::new(1),
                age_ms: 0,
                budget: None,
                priority: None,
            },
            body: Payload::from(b"{}".as_slice()),
        };
        let limit = now + spec.deadline + ANSWER_GRACE;
        let Ok(bytes) = request.encode() else { return };
        let connection = &mut self.flows[flow];
        let message = connection.next_message();
        connection.waiting.insert(
            message,
            UnansweredRequest {
                load,
                id,
                sent: now,
            },
        );
        let packets = connection.send(now, message, bytes);
        self.tally.requests += 1;
        self.outstanding += 1;
        self.events
            .push(Reverse((limit, Event::Expiry(flow, message.get()))));
        self.send_all(&packets);
        self.arm_timer(flow);
    }

    fn expire(&mut self, flow: usize, message: u32) {
        let message = usher_types::MessageId::new(message);
        if let Some(waiting) = self.flows[flow].waiting.remove(&message) {
            self.outstanding -= 1;
            self.tally.broken_flows += 1;
            let method = self.args.load[waiting.load].method.clone();
            self.log_request(
                waiting.sent,
                flow,
                &method,
                &format!("message {message} not answered"),
            );
        }
    }

    fn flow(&self, index: usize) -> FlowId {
        self.flows.keys()[index]
    }

    fn receive(&mut self, buffer: &mut [u8], wait: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(wait.max(MIN_WAIT)))?;
        match self.socket.recv(buffer) {
            Ok(length) => {
                if let Ok(packet) = decode_packet(&buffer[..length]) {
                    self.receive_packet(clock::now(), packet);
                }
                Ok(())
            }
            Err(error) if is_transient(&error) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn receive_packet(&mut self, now: Time, packet: Packet) {
        let Some(flow) = self.flows.get_index_of(&packet.flow) else {
            return;
        };
        if packet.body == Body::Reset {
            self.tally.broken_flows += 1;
            eprintln!("caller: reset of {}", packet.flow);
            return;
        }
        let was_open = self.flows[flow].is_open();
        let (packets, message) = self.flows[flow].receive(now, packet.body);
        self.tally.opened += u64::from(!was_open && self.flows[flow].is_open());
        self.send_all(&packets);
        if let Some(bytes) = message {
            self.receive_answer(now, flow, &bytes);
        }
    }

    fn receive_answer(&mut self, now: Time, flow: usize, bytes: &[u8]) {
        let Ok(response) = ResponseMessage::decode(bytes) else {
            self.tally.misrouted += 1;
            return;
        };
        let Some(id) = response.id.as_u64() else {
            return;
        };
        let Some(waiting) = self.flows[flow].take(id) else {
            return;
        };
        self.outstanding -= 1;
        let load = self.args.load[waiting.load].clone();
        let latency = now - waiting.sent;
        match response.outcome {
            Outcome::Answered(payload) => {
                let value: serde_json::Value = serde_json::from_slice(&payload).unwrap_or_default();
                self.tally.misrouted += u64::from(value["service"] != load.service.as_str());
                self.tally.late += u64::from(latency > load.deadline);
                self.tally.answered += 1;
                self.tally.record(&load.method, latency);
            }
            Outcome::NotRun { refusal, .. } => {
                self.tally.not_run += 1;
                self.log_request(now, flow, &load.method, &format!("not run: {refusal:?}"));
            }
            Outcome::Unknown => {
                self.tally.unknown += 1;
                self.log_request(now, flow, &load.method, "outcome unknown");
            }
            Outcome::Failed(_) => {
                self.tally.failed += 1;
                self.log_request(now, flow, &load.method, "failed");
            }
        }
    }

    // Prints a line for each request that was not answered, for analysis after the run.
    fn log_request(&self, now: Time, flow: usize, method: &str, reason: &str) {
        eprintln!(
            "caller: {} {method} on {}: {reason}",
            now - self.start,
            self.flow(flow)
        );
    }

    fn send_all(&self, packets: &[Packet]) {
        for packet in packets {
            self.send(packet);
        }
    }

    fn send(&self, packet: &Packet) {
        if let Ok(bytes) = encode_packet(packet) {
            // A lost datagram is sent again by the flow's timers.
            let _ = self.socket.send(&bytes);
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::ConnectionRefused
    )
}
