use std::net::{SocketAddrV4, UdpSocket};

use socket2::SockRef;
use usher_types::{AgentMessage, Message};
use usher_wire::encode_message;

use crate::{RuntimeError, event};

// Holds some hundred milliseconds of packets while the receiving thread is not scheduled.
const BUFFER_BYTES: usize = 8 << 20;

/// Size of a receive buffer that fits every UDP datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Opens a UDP socket with large buffers.
pub(crate) fn bind(address: SocketAddrV4) -> Result<UdpSocket, RuntimeError> {
    let open = || {
        let socket = UdpSocket::bind(address)?;
        SockRef::from(&socket).set_recv_buffer_size(BUFFER_BYTES)?;
        SockRef::from(&socket).set_send_buffer_size(BUFFER_BYTES)?;
        Ok(socket)
    };
    open().map_err(|source| RuntimeError::Listen { address, source })
}

/// Sends a message; the protocol's timers recover from losses.
pub(crate) fn send(socket: &UdpSocket, to: SocketAddrV4, message: &Message) {
    let sent = encode_message(message).map(|bytes| socket.send_to(&bytes, to));
    if !matches!(sent, Ok(Ok(_))) {
        event::SEND_FAILED.log(&[("to", &to), ("kind", &kind(message))]);
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Relay(_) => "relay",
        Message::Hint(_) => "hint",
        Message::Beat(_) => "beat",
        Message::BeatAck(_) => "beat-ack",
        Message::Agent {
            message: AgentMessage::Offer(_),
            ..
        } => "offer",
        Message::Agent { .. } => "agent",
    }
}
