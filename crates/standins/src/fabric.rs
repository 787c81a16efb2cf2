use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use argh::FromArgs;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_wire::decode_packet;

const MAX_DATAGRAM: usize = 65_536;

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
        self.spray(&outside, &inside, &callers)
    }

    // Packets from callers go to any balancer.
    fn spray(&self, outside: &UdpSocket, inside: &UdpSocket, callers: &Callers) -> io::Result<()> {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (length, from) = outside.recv_from(&mut buffer)?;
            if let Ok(packet) = decode_packet(&buffer[..length]) {
                remember(callers, *packet.flow.caller.ip(), from);
            }
            for _ in 0..self.copies(&mut rng) {
                if let Some(balancer) = self.balancer.choose(&mut rng) {
                    // A dead balancer refuses the datagram; the caller sends again.
                    let _ = inside.send_to(&buffer[..length], balancer);
                }
            }
        }
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
