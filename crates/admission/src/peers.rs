use std::net::SocketAddrV4;

use usher_types::Span;

/// Estimated waits of the other agents of the service.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    waits: Vec<(SocketAddrV4, Span)>,
}

impl Peers {
    pub(crate) fn new(waits: Vec<(SocketAddrV4, Span)>) -> Self {
        Self { waits }
    }

    /// The peer with the shortest wait, without the peers in `tried`.
    pub(crate) fn shortest(&self, tried: &[SocketAddrV4]) -> Option<(SocketAddrV4, Span)> {
        let untried = self.waits.iter().filter(|(peer, _)| !tried.contains(peer));
        untried.min_by_key(|(_, wait)| *wait).copied()
    }

    pub(crate) fn set(&mut self, peer: SocketAddrV4, wait: Span) {
        for entry in self.waits.iter_mut().filter(|(p, _)| *p == peer) {
            entry.1 = wait;
        }
    }

    /// Adds work that was sent to the peer since it reported its wait.
    pub(crate) fn add(&mut self, peer: SocketAddrV4, work: Span) {
        for entry in self.waits.iter_mut().filter(|(p, _)| *p == peer) {
            entry.1 = entry.1 + work;
        }
    }
}
