use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use socket2::SockRef;
use usher_types::{Body, FlowId, Outcome, Packet, Time};
use usher_wire::{ResponseMessage, decode_packet, encode_packet};

use super::connection::Connection;
use super::request::Request;
use crate::clock;

const MAX_DATAGRAM_BYTES: usize = 65_536;
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;
const FIRST_PORT: u16 = 10_000;
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// A caller that sends single requests over flows that it opens.
#[derive(Debug)]
pub struct Caller {
    address: Ipv4Addr,
    commands: mpsc::Sender<Command>,
    flows: AtomicU64,
    resets: Arc<AtomicU64>,
}

/// A request that has been sent; its outcome can be awaited.
#[derive(Debug)]
pub struct Pending(mpsc::Receiver<Outcome>);

#[derive(Debug)]
enum Command {
    Open(FlowId, mpsc::Sender<()>),
    Send(FlowId, Box<Request>, mpsc::Sender<Outcome>),
    Received(Packet),
}

#[derive(Debug)]
struct Worker {
    socket: UdpSocket,
    flows: IndexMap<FlowId, Connection>,
    opening: HashMap<FlowId, mpsc::Sender<()>>,
    waiting: HashMap<u64, mpsc::Sender<Outcome>>,
    resets: Arc<AtomicU64>,
}

impl Caller {
    /// Starts a caller that sends to a fabric; its flows have `address` as caller address.
    ///
    /// # Errors
    /// Fails when the socket cannot be opened.
    ///
    /// ```
    /// use usher_standins::Caller;
    /// let fabric = "127.0.0.1:9".parse().unwrap();
    /// let caller = Caller::start(fabric, "10.1.0.1".parse().unwrap())?;
    /// assert_eq!(caller.resets(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(fabric: SocketAddr, address: Ipv4Addr) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.connect(fabric)?;
        let (commands, receiver) = mpsc::channel();
        let (reader, incoming) = (socket.try_clone()?, commands.clone());
        thread::spawn(move || receive_packets(&reader, &incoming));
        let resets = Arc::default();
        let worker = Worker {
            socket,
            flows: IndexMap::new(),
            opening: HashMap::new(),
            waiting: HashMap::new(),
            resets: Arc::clone(&resets),
        };
        thread::spawn(move || worker.run(&receiver));
        Ok(Self {
            address,
            commands,
            flows: AtomicU64::new(0),
            resets,
        })
    }

    /// Opens a flow and waits until an agent accepts it; `None` after `limit`.
    pub fn open(&self, service: SocketAddrV4, limit: Duration) -> Option<FlowId> {
        let number = self.flows.fetch_add(1, Ordering::Relaxed);
        let flow = FlowId {
            caller: SocketAddrV4::new(self.address, FIRST_PORT + number as u16),
            service,
            nonce: number as u32,
        };
        let (sender, opened) = mpsc::channel();
        self.commands.send(Command::Open(flow, sender)).ok()?;
        opened.recv_timeout(limit).ok().map(|()| flow)
    }

    /// Sends a request on a flow that is open.
    pub fn send(&self, flow: FlowId, request: &Request) -> Pending {
        let (sender, receiver) = mpsc::channel();
        let command = Command::Send(flow, Box::new(request.clone()), sender);
        // If the worker has ended, the request stays unanswered.
        let _ = self.commands.send(command);
        Pending(receiver)
    }

    /// Number of flows that were reset.
    pub fn resets(&self) -> u64 {
        self.resets.load(Ordering::Relaxed)
    }
}

impl Pending {
    /// Waits for the outcome; `None` after `limit`.
    pub fn wait(&self, limit: Duration) -> Option<Outcome> {
        self.0.recv_timeout(limit).ok()
    }
}

fn receive_packets(socket: &UdpSocket, received: &mpsc::Sender<Command>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error reports an earlier send to a closed port of the fabric.
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        if let Ok(packet) = decode_packet(&buffer[..length])
            && received.send(Command::Received(packet)).is_err()
        {
            return;
        }
    }
}

impl Worker {
    fn run(mut self, commands: &mpsc::Receiver<Command>) {
        let mut next_id = 0;
        loop {
            let now = clock::now();
            self.tick(now);
            match commands.recv_timeout(self.wait(now)) {
                Ok(command) => {
                    next_id += 1;
                    self.handle(next_id, command);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn wait(&self, now: Time) -> Duration {
        let due = self.flows.values().filter_map(Connection::next_timer).min();
        due.map_or(IDLE_WAIT, |due| {
            Duration::from_micros((due - now).as_micros())
        })
    }

    fn tick(&mut self, now: Time) {
        let is_due = |flow: &Connection| flow.next_timer().is_some_and(|due| due <= now);
        let packets: Vec<Packet> = self
            .flows
            .values_mut()
            .filter(|flow| is_due(flow))
            .flat_map(|flow| flow.tick(now))
            .collect();
        self.send_all(&packets);
    }

    fn handle(&mut self, id: u64, command: Command) {
        let now = clock::now();
        match command {
            Command::Open(flow, opened) => {
                let mut connection = Connection::new(flow);
                let packet = connection.open(now);
                self.flows.insert(flow, connection);
                self.opening.insert(flow, opened);
                self.send_all(&[packet]);
            }
            Command::Send(flow, request, reply) => {
                let Some(connection) = self.flows.get_mut(&flow) else {
                    return;
                };
                let Ok(bytes) = request.message(id).encode() else {
                    return;
                };
                let message = connection.next_message();
                let packets = connection.send(now, message, bytes);
                self.waiting.insert(id, reply);
                self.send_all(&packets);
            }
            Command::Received(packet) => self.receive(now, packet),
        }
    }

    fn receive(&mut self, now: Time, packet: Packet) {
        let Some(connection) = self.flows.get_mut(&packet.flow) else {
            return;
        };
        if packet.body == Body::Reset {
            self.resets.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let (packets, message) = connection.receive(now, packet.body);
        if connection.is_open()
            && let Some(opened) = self.opening.remove(&packet.flow)
        {
            // The caller may have stopped waiting.
            let _ = opened.send(());
        }
        self.send_all(&packets);
        let response = message.and_then(|bytes| ResponseMessage::decode(&bytes).ok());
        let Some(response) = response else { return };
        let id = response.id.as_u64();
        if let Some(reply) = id.and_then(|id| self.waiting.remove(&id)) {
            let _ = reply.send(response.outcome);
        }
    }

    fn send_all(&self, packets: &[Packet]) {
        for packet in packets {
            if let Ok(bytes) = encode_packet(packet) {
                // A lost datagram is sent again by the flow's timers.
                let _ = self.socket.send(&bytes);
            }
        }
    }
}
