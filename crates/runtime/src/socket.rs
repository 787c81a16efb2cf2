use std::net::{SocketAddrV4, UdpSocket};

use socket2::SockRef;
use usher_types::{AgentMessage, Message};
use usher_wire::encode_message;

use crate::{RuntimeError, event};

// Room for some hundred milliseconds of packets while a thread is not scheduled.
const BUFFER_BYTES: usize = 8 << 20;

/// Largest UDP payload.
pub(crate) const MAX_DATAGRAM: usize = 65_536;

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

/// Sends a message; losses are left to the timers of the protocol.
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
