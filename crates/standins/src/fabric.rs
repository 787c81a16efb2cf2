use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use argh::FromArgs;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{Span, Time};
use usher_wire::decode_packet;

use crate::clock;

const MAX_DATAGRAM: usize = 65_536;

const CLOSED_PORT: Span = Span::from_secs(1);

type Callers = Arc<Mutex<HashMap<Ipv4Addr, SocketAddr>>>;

/// fabric that hands each packet to a random balancer
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricArgs {
    /// UDP address for callers
    #[argh(option)]
    callers: SocketAddrV4,
    /// UDP address for answers from agents
    #[argh(option)]
    answers: SocketAddrV4,
    /// UDP address of a balancer; repeat for each
    #[argh(option)]
    balancer: Vec<SocketAddrV4>,
    /// share of packets lost, from 0 to 1
    #[argh(option, default = "0.0")]
    loss: f64,
    /// share of packets delivered twice, from 0 to 1
    #[argh(option, default = "0.0")]
    duplicates: f64,
    /// seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
}

// A connected socket reports a closed port at the next send.
struct Path {
    socket: UdpSocket,
    retry: Time,
}

impl FabricArgs {
    /// Forwards packets in both directions until the process ends.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub fn run(self) -> io::Result<()> {
        let outside = UdpSocket::bind(self.callers)?;
        let inside = UdpSocket::bind(self.answers)?;
        let callers = Callers::default();
        let back = (
            inside.try_clone()?,
            outside.try_clone()?,
            Arc::clone(&callers),
        );
        thread::spawn(move || deliver(&back.0, &back.1, &back.2));
        self.spray(&outside, &callers)
    }

    // Packets from callers go to any balancer whose port is open.
    fn spray(&self, outside: &UdpSocket, callers: &Callers) -> io::Result<()> {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let mut paths = self.paths()?;
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (length, from) = outside.recv_from(&mut buffer)?;
            if let Ok(packet) = decode_packet(&buffer[..length]) {
                remember(callers, *packet.flow.caller.ip(), from);
            }
            for _ in 0..self.copies(&mut rng) {
                send_to_any(&mut paths, &mut rng, &buffer[..length]);
            }
        }
    }

    fn paths(&self) -> io::Result<Vec<Path>> {
        let connect = |balancer: &SocketAddrV4| {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.connect(balancer)?;
            Ok(Path {
                socket,
                retry: Time::ZERO,
            })
        };
        self.balancer.iter().map(connect).collect()
    }

    fn copies(&self, rng: &mut Pcg64) -> usize {
        if rng.random_bool(self.loss) {
            0
        } else if rng.random_bool(self.duplicates) {
            2
        } else {
            1
        }
    }
}

// Tries balancers in random order; a closed port is left out for a while.
fn send_to_any(paths: &mut [Path], rng: &mut Pcg64, bytes: &[u8]) {
    let now = clock::now();
    paths.shuffle(rng);
    for path in paths.iter_mut().filter(|path| path.retry <= now) {
        match path.socket.send(bytes) {
            Ok(_) => return,
            Err(_) => path.retry = now + CLOSED_PORT,
        }
    }
}

// Answers go to the caller whose address the packet names.
fn deliver(inside: &UdpSocket, outside: &UdpSocket, callers: &Callers) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // A refused datagram to a dead balancer is reported here and concerns no answer.
        let Ok((length, _)) = inside.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(packet) = decode_packet(&buffer[..length]) else {
            continue;
        };
        let target = callers
            .lock()
            .ok()
            .and_then(|map| map.get(packet.flow.caller.ip()).copied());
        if let Some(target) = target {
            let _ = outside.send_to(&buffer[..length], target);
        }
    }
}

fn remember(callers: &Callers, ip: Ipv4Addr, from: SocketAddr) {
    if let Ok(mut map) = callers.lock() {
        map.insert(ip, from);
    }
}
