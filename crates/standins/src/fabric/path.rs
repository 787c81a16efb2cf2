use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use usher_types::{Span, Time};

use crate::clock;

// A balancer whose port is closed is left out for this long.
const CLOSED_PORT: Span = Span::from_secs(1);

/// Way to one balancer; a connected socket reports a closed port at the next send.
#[derive(Debug)]
pub(crate) struct Path {
    socket: UdpSocket,
    retry: Time,
}

impl Path {
    pub(crate) fn new(balancer: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(balancer)?;
        Ok(Self {
            socket,
            retry: Time::ZERO,
        })
    }

    /// Tries paths in random order until one takes the packet.
    pub(crate) fn send_to_any(paths: &mut [Self], rng: &mut Pcg64, bytes: &[u8]) {
        let now = clock::now();
        paths.shuffle(rng);
        for path in paths.iter_mut().filter(|path| path.retry <= now) {
            match path.socket.send(bytes) {
                Ok(_) => return,
                Err(_) => path.retry = now + CLOSED_PORT,
            }
        }
    }
}
