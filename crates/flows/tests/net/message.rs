use std::net::SocketAddrV4;

use usher_flows::Transfer;
use usher_types::{FlowId, HostId, Packet, Register, Registered, Relay};

/// A message in flight; a host number names the receiver.
#[derive(Debug, Clone)]
pub enum Message {
    Relay(usize, Relay),
    Caller(Packet),
    Register(usize, SocketAddrV4, Register),
    Registered(usize, SocketAddrV4, Registered),
    Handover(usize, HostId, usize, Transfer),
    TookOver(usize, HostId, Vec<FlowId>),
    Failed(usize, HostId),
}

impl Message {
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Relay(..) => "relay",
            Self::Caller(_) => "caller",
            Self::Register(..) => "register",
            Self::Registered(..) => "registered",
            Self::Handover(..) => "handover",
            Self::TookOver(..) => "took-over",
            Self::Failed(..) => "failed",
        }
    }
}
