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

const MAX_DATAGRAM: usize = 65_536;
const BUFFER_BYTES: usize = 8 << 20;
const IDLE: Duration = Duration::from_mins(1);

/// A running fabric; its balancers and faults can change.
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
    outside: UdpSocket,
}

// A packet to be delivered later.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Late {
    due: Time,
    direction: Direction,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Balancers,
    Callers,
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
        let (outside, inside) = (bind(callers)?, bind(answers)?);
        let (callers, answers) = (outside.local_addr()?, inside.local_addr()?);
        let state = Arc::new(Mutex::new(State {
            paths: Vec::new(),
            callers: HashMap::new(),
            faults: PathFaults::default(),
            rng: Pcg64::seed_from_u64(seed),
            outside: outside.try_clone()?,
        }));
        let (sender, receiver) = mpsc::channel();
        let readers = [
            (outside, Direction::Balancers),
            (inside, Direction::Callers),
        ];
        let mut threads: Vec<_> = readers
            .into_iter()
            .map(|(socket, direction)| {
                let (state, late) = (Arc::clone(&state), sender.clone());
                thread::spawn(move || read(&socket, direction, &state, &late))
            })
            .collect();
        let delayed = Arc::clone(&state);
        threads.push(thread::spawn(move || deliver_late(&receiver, &delayed)));
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

    /// Replaces the faults of the paths.
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
            Direction::Balancers => Path::send_to_any(&mut self.paths, &mut self.rng, bytes),
            Direction::Callers => self.send_to_caller(bytes),
        }
    }

    // Answers go to the caller whose address the packet names.
    fn send_to_caller(&self, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes) else {
            return;
        };
        if let Some(target) = self.callers.get(packet.flow.caller.ip()) {
            // A lost datagram is sent again by the flow's timers.
            let _ = self.outside.send_to(bytes, target);
        }
    }
}

fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    SockRef::from(&socket).set_recv_buffer_size(BUFFER_BYTES)?;
    Ok(socket)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read(socket: &UdpSocket, direction: Direction, state: &Mutex<State>, late: &mpsc::Sender<Late>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // A refused datagram to a process that has gone is reported here and concerns no packet.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let bytes = &buffer[..length];
        let mut state = lock(state);
        if direction == Direction::Balancers
            && let Ok(packet) = decode_packet(bytes)
        {
            state.callers.insert(*packet.flow.caller.ip(), from);
        }
        let faults = state.faults;
        for delay in faults.copies(&mut state.rng) {
            if delay == Span::ZERO {
                state.send(direction, bytes);
                continue;
            }
            let due = clock::now() + delay;
            let bytes = bytes.to_vec();
            // The receiver ends with the process.
            let _ = late.send(Late {
                due,
                direction,
                bytes,
            });
        }
    }
}

fn deliver_late(packets: &mpsc::Receiver<Late>, state: &Mutex<State>) {
    let mut queue: BinaryHeap<Reverse<Late>> = BinaryHeap::new();
    loop {
        let now = clock::now();
        while let Some(late) = pop_due(&mut queue, now) {
            lock(state).send(late.direction, &late.bytes);
        }
        let wait = queue.peek().map_or(IDLE, |Reverse(late)| {
            Duration::from_micros((late.due - now).as_micros())
        });
        match packets.recv_timeout(wait) {
            Ok(late) => queue.push(Reverse(late)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn pop_due(queue: &mut BinaryHeap<Reverse<Late>>, now: Time) -> Option<Late> {
    let is_due = queue.peek().is_some_and(|Reverse(late)| late.due <= now);
    let popped = is_due.then(|| queue.pop()).flatten();
    popped.map(|Reverse(late)| late)
}
