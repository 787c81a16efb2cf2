use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use usher_types::{Span, Time};

use crate::clock;

// A balancer with a closed port gets no packets for this long.
const CLOSED_PORT_PAUSE: Span = Span::from_secs(1);

/// Path to one balancer; its connected socket reports a closed port at the next send.
#[derive(Debug)]
pub(crate) struct Path {
    socket: UdpSocket,
    retry_at: Time,
}

impl Path {
    pub(crate) fn new(balancer: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(balancer)?;
        Ok(Self {
            socket,
            retry_at: Time::ZERO,
        })
    }

    /// Tries the paths in random order until one sends the packet.
    pub(crate) fn send_to_any(paths: &mut [Self], rng: &mut Pcg64, bytes: &[u8]) {
        let now = clock::now();
        paths.shuffle(rng);
        for path in paths.iter_mut().filter(|path| path.retry_at <= now) {
            match path.socket.send(bytes) {
                Ok(_) => return,
                Err(_) => path.retry_at = now + CLOSED_PORT_PAUSE,
            }
        }
    }
}
