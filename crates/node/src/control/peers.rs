use std::io;
use std::net::{IpAddr, SocketAddr, SocketAddrV4, UdpSocket};

use usher_forwarding::{NodeId, WakeUp};

use crate::codec::{MESSAGE_BYTES, PeerMessage, read_message, write_message, write_wake_up};
use crate::socket::{RETRY_PAUSE, open_udp, send};
use crate::{NodeError, Settings, event};

/// Sends and receives messages between the control threads of nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    sender: UdpSocket,
    receiver: tokio::net::UdpSocket,
    port: u16,
}

impl Peers {
    pub(crate) fn open(settings: &Settings) -> Result<Self, NodeError> {
        let address = SocketAddrV4::new(settings.node.address(), settings.peer_port);
        let what = "messages between nodes";
        let failed = |cause: io::Error| NodeError::Open {
            what,
            address: address.to_string(),
            cause,
        };
        let sender = open_udp(address, what)?;
        sender.set_nonblocking(true).map_err(failed)?;
        let receiver = sender.try_clone().map_err(failed)?;
        let receiver = tokio::net::UdpSocket::from_std(receiver).map_err(failed)?;
        Ok(Self {
            sender,
            receiver,
            port: settings.peer_port,
        })
    }

    pub(crate) fn send<'a>(&self, to: impl IntoIterator<Item = &'a NodeId>, message: &PeerMessage) {
        let bytes = match write_message(message) {
            Ok(bytes) => bytes,
            Err(fault) => {
                event::SEND_FAILED.log(&[("message", &fault)]);
                return;
            }
        };
        for node in to {
            let to = SocketAddrV4::new(node.address(), self.port);
            send(&self.sender, &bytes, to);
        }
    }

    /// Sends a wake-up to the traffic thread of this node, which receives packets at `to`.
    pub(crate) fn wake(&self, to: SocketAddrV4, wake_up: WakeUp) {
        send(&self.sender, &write_wake_up(wake_up), to);
    }

    /// Waits for the next valid message.
    pub(crate) async fn receive(&self) -> (NodeId, PeerMessage) {
        let mut buffer = [0; MESSAGE_BYTES];
        loop {
            let (length, from) = match self.receiver.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(fault) => {
                    event::RECEIVE_FAILED.log(&[("fault", &fault)]);
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            let message = read_message(&buffer[..length]);
            match (node_of(from), message) {
                (Some(node), Some(message)) => return (node, message),
                _ => event::MALFORMED.log(&[("from", &from), ("bytes", &length)]),
            }
        }
    }
}

fn node_of(from: SocketAddr) -> Option<NodeId> {
    match from.ip() {
        IpAddr::V4(address) => Some(NodeId::new(address)),
        IpAddr::V6(_) => None,
    }
}
