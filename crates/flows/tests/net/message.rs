use std::net::SocketAddrV4;

use usher_flows::Transfer;
use usher_types::{FlowId, HostId, Packet, Registration, RegistrationAck, Relay};

/// A message in flight; a host number names the receiver.
#[derive(Debug, Clone)]
pub enum Message {
    Relay(usize, Relay),
    Caller(Packet),
    Registration(usize, SocketAddrV4, Registration),
    RegistrationAck(usize, SocketAddrV4, RegistrationAck),
    Handover(usize, HostId, usize, Transfer),
    TookOver(usize, HostId, Vec<FlowId>),
    Failed(usize, HostId),
}

impl Message {
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Relay(..) => "relay",
            Self::Caller(_) => "caller",
            Self::Registration(..) => "register",
            Self::RegistrationAck(..) => "registered",
            Self::Handover(..) => "handover",
            Self::TookOver(..) => "took-over",
            Self::Failed(..) => "failed",
        }
    }
}
