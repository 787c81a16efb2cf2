use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

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
pub(crate) fn receive_all(
    socket: &UdpSocket,
    buffer: &mut [u8],
    mut handle: impl FnMut(&mut [u8]),
) {
    loop {
        match socket.recv(buffer) {
            Ok(length) => handle(&mut buffer[..length]),
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Err(fault) => {
                event::RECEIVE_FAILED.log(&[("fault", &fault)]);
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Sends a datagram; a failure is only logged, since lost datagrams are repeated.
pub(crate) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) {
    if let Err(fault) = socket.send_to(bytes, to) {
        event::SEND_FAILED.log(&[("to", &to), ("fault", &fault)]);
    }
}
