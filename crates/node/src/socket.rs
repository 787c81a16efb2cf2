use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::thread;
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use socket2::SockRef;
use usher_clock::{SocketBacklog, since_boot};
use usher_forwarding::PacketHeader;

use crate::metrics::Metrics;
use crate::{NodeError, event};

// Buffers about 600 long packets while the node is not scheduled.
const RECEIVE_BUFFER_BYTES: usize = 1_048_576;
/// Pause before a failed socket call is repeated, for example for lack of descriptors.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Opens a UDP socket for packets.
pub(crate) fn open_udp(address: SocketAddrV4, what: &'static str) -> Result<UdpSocket, NodeError> {
    let failed = |cause: io::Error| NodeError::Open {
        what,
        address: address.to_string(),
        cause,
    };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    // A small buffer loses packets under load but does not stop the node.
    if let Err(fault) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        event::RECEIVE_FAILED.log(&[("buffer", &RECEIVE_BUFFER_BYTES), ("fault", &fault)]);
    }
    Ok(socket)
}

/// Receives datagrams until the process exits and passes each to `handle`.
///
/// `handle` also gets the state of the socket, which tells how long the datagram may have waited.
pub(crate) fn receive_all(
    socket: &UdpSocket,
    buffer: &mut [u8],
    mut handle: impl FnMut(&mut [u8], &SocketBacklog),
) {
    let timeout = Duration::from_micros(SocketBacklog::READ_TIMEOUT.as_micros());
    // Without a time-out, an idle thread looks as if it had not run.
    if let Err(fault) = socket.set_read_timeout(Some(timeout)) {
        event::RECEIVE_FAILED.log(&[("timeout", &SocketBacklog::READ_TIMEOUT), ("fault", &fault)]);
    }
    let mut backlog = SocketBacklog::new(since_boot());
    loop {
        backlog.before_read(since_boot());
        let flags = if backlog.may_wait() {
            RecvFlags::DONTWAIT
        } else {
            RecvFlags::empty()
        };
        match recv(socket, &mut *buffer, flags) {
            Ok((_, length)) => {
                let length = length.min(buffer.len());
                handle(&mut buffer[..length], &backlog);
            }
            Err(Errno::AGAIN) => backlog.on_empty(),
            Err(Errno::INTR) => {}
            Err(fault) => {
                event::RECEIVE_FAILED.log(&[("fault", &fault)]);
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Whether a packet is an opening packet that its caller may have given up while it waited.
///
/// Its flow may be open at another host, or the caller has gone on to a later attempt.
pub(crate) fn is_given_up(
    packet_header: &PacketHeader,
    backlog: &SocketBacklog,
    metrics: &Metrics,
) -> bool {
    if !packet_header.opens() {
        return false;
    }
    let waited = backlog.longest_wait(since_boot());
    let given_up = packet_header.is_given_up(waited);
    if given_up {
        metrics.opening_given_up();
        event::OPENING_GIVEN_UP.log(&[
            ("flow", &packet_header.inbound()),
            ("copy", &packet_header.acknowledged),
            ("waited", &waited),
        ]);
    }
    given_up
}

/// Sends a datagram; a failure is only logged, since lost datagrams are repeated.
pub(crate) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) {
    if let Err(fault) = socket.send_to(bytes, to) {
        event::SEND_FAILED.log(&[("to", &to), ("fault", &fault)]);
    }
}
