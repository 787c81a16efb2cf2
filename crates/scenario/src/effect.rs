use std::net::SocketAddrV4;

use usher_members::Proposal;
use usher_types::{
    Beat, FlowId, Generation, HostId, Message, Packet, RequestId, ServiceName, Version,
};

use crate::backend::Order;

/// What a process asks of the world around it.
#[derive(Debug)]
pub(crate) enum Effect {
    Send {
        to: SocketAddrV4,
        message: Message,
    },
    Packet(Packet),
    Run(Order),
    CancelRun(RequestId),
    HandOver {
        to: HostId,
        transfers: Transfers,
    },
    Propose {
        proposal: Proposal,
        unsettled: Option<Vec<Version>>,
    },
}

impl Effect {
    /// One heartbeat to several receivers.
    pub(crate) fn beats(to: Vec<SocketAddrV4>, beat: Beat) -> impl Iterator<Item = Self> {
        let message = Message::Beat(beat);
        to.into_iter().map(move |to| Self::Send {
            to,
            message: message.clone(),
        })
    }
}

/// What one agent hands to another.
#[derive(Debug)]
pub(crate) struct Transfers {
    pub(crate) service: ServiceName,
    pub(crate) generation: Generation,
    pub(crate) content: Content,
}

/// Content of a handover.
#[derive(Debug)]
pub(crate) enum Content {
    Flows(usher_flows::Transfer),
    Records(usher_dedupe::Transfer),
}

/// Answer to a handover.
#[derive(Debug)]
pub(crate) enum Taken {
    Flows(Vec<FlowId>),
    Records(Version),
}
