use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use socket2::SockRef;
use usher_types::{Span, Time};
use usher_wire::decode_packet;

use super::PathFaults;
use super::path::Path;
use crate::clock;

const MAX_DATAGRAM_BYTES: usize = 65_536;
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// A running fabric; its balancers and faults can be replaced at any time.
#[derive(Debug)]
pub struct Fabric {
    callers: SocketAddr,
    answers: SocketAddr,
    state: Arc<Mutex<State>>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct State {
    paths: Vec<Path>,
    callers: HashMap<Ipv4Addr, SocketAddr>,
    faults: PathFaults,
    rng: Pcg64,
    caller_socket: UdpSocket,
}

// A packet to be delivered later.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedPacket {
    due: Time,
    direction: Direction,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    ToBalancers,
    ToCallers,
}

impl Fabric {
    /// Starts a fabric without balancers and faults.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let fabric = usher_standins::Fabric::start(any, any, 1)?;
    /// assert_ne!(fabric.callers(), fabric.answers());
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(callers: SocketAddrV4, answers: SocketAddrV4, seed: u64) -> io::Result<Self> {
        let (caller_socket, agent_socket) = (bind(callers)?, bind(answers)?);
        let (callers, answers) = (caller_socket.local_addr()?, agent_socket.local_addr()?);
        let state = Arc::new(Mutex::new(State {
            paths: Vec::new(),
            callers: HashMap::new(),
            faults: PathFaults::default(),
            rng: Pcg64::seed_from_u64(seed),
            caller_socket: caller_socket.try_clone()?,
        }));
        let (sender, receiver) = mpsc::channel();
        let readers = [
            (caller_socket, Direction::ToBalancers),
            (agent_socket, Direction::ToCallers),
        ];
        let mut threads: Vec<_> = readers
            .into_iter()
            .map(|(socket, direction)| {
                let (state, delayed) = (Arc::clone(&state), sender.clone());
                thread::spawn(move || forward_packets(&socket, direction, &state, &delayed))
            })
            .collect();
        let shared = Arc::clone(&state);
        threads.push(thread::spawn(move || deliver_delayed(&receiver, &shared)));
        Ok(Self {
            callers,
            answers,
            state,
            threads,
        })
    }

    /// UDP address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// UDP address for answers from agents.
    pub fn answers(&self) -> SocketAddr {
        self.answers
    }

    /// Replaces the balancers that packets go to.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub fn set_balancers(&self, balancers: &[SocketAddrV4]) -> io::Result<()> {
        let paths: io::Result<Vec<Path>> = balancers.iter().copied().map(Path::new).collect();
        lock(&self.state).paths = paths?;
        Ok(())
    }

    /// Replaces the faults that packets undergo.
    pub fn set_faults(&self, faults: PathFaults) {
        lock(&self.state).faults = faults;
    }

    /// Forwards packets until a thread fails.
    pub(crate) fn join(self) -> io::Result<()> {
        for thread in self.threads {
            let joined = thread.join();
            joined.map_err(|_panic| io::Error::other("a thread of the fabric failed"))?;
        }
        Ok(())
    }
}

impl State {
    fn send(&mut self, direction: Direction, bytes: &[u8]) {
        match direction {
            Direction::ToBalancers => Path::send_to_any(&mut self.paths, &mut self.rng, bytes),
            Direction::ToCallers => self.send_to_caller(bytes),
        }
    }

    // An answer goes to the process that last sent with the caller address of its flow.
    fn send_to_caller(&self, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes) else {
            return;
        };
        if let Some(target) = self.callers.get(packet.flow.caller.ip()) {
            // A lost datagram is sent again by the flow's timers.
            let _ = self.caller_socket.send_to(bytes, target);
        }
    }
}

fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forward_packets(
    socket: &UdpSocket,
    direction: Direction,
    state: &Mutex<State>,
    delayed: &mpsc::Sender<DelayedPacket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error reports an earlier send to a closed port.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let bytes = &buffer[..length];
        let mut state = lock(state);
        if direction == Direction::ToBalancers
            && let Ok(packet) = decode_packet(bytes)
        {
            state.callers.insert(*packet.flow.caller.ip(), from);
        }
        let faults = state.faults;
        for delay in faults.draw_copies(&mut state.rng) {
            if delay == Span::ZERO {
                state.send(direction, bytes);
                continue;
            }
            let due = clock::now() + delay;
            let bytes = bytes.to_vec();
            // The receiving thread runs as long as the process.
            let _ = delayed.send(DelayedPacket {
                due,
                direction,
                bytes,
            });
        }
    }
}

fn deliver_delayed(packets: &mpsc::Receiver<DelayedPacket>, state: &Mutex<State>) {
    let mut queue: BinaryHeap<Reverse<DelayedPacket>> = BinaryHeap::new();
    loop {
        let now = clock::now();
        while let Some(delayed) = pop_due(&mut queue, now) {
            lock(state).send(delayed.direction, &delayed.bytes);
        }
        let wait = queue.peek().map_or(IDLE_WAIT, |Reverse(delayed)| {
            Duration::from_micros((delayed.due - now).as_micros())
        });
        match packets.recv_timeout(wait) {
            Ok(delayed) => queue.push(Reverse(delayed)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn pop_due(queue: &mut BinaryHeap<Reverse<DelayedPacket>>, now: Time) -> Option<DelayedPacket> {
    let is_due = queue
        .peek()
        .is_some_and(|Reverse(delayed)| delayed.due <= now);
    let popped = is_due.then(|| queue.pop()).flatten();
    popped.map(|Reverse(delayed)| delayed)
}
