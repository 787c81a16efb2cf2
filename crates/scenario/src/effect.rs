use std::net::SocketAddrV4;

use usher_members::Proposal;
use usher_types::{
    Beat, FlowId, Generation, HostId, Message, Packet, RequestId, ServiceName, Version,
};

use crate::backend::RunRequest;

/// Action that a process asks the simulation to perform.
#[derive(Debug)]
pub(crate) enum Effect {
    Send {
        to: SocketAddrV4,
        message: Message,
    },
    Packet(Packet),
    Run(RunRequest),
    CancelRun(RequestId),
    HandOver {
        to: HostId,
        handover: HandoverRequest,
    },
    Propose {
        proposal: Proposal,
        unsettled: Option<Vec<Version>>,
    },
}

impl Effect {
    /// Sends one heartbeat to several receivers.
    pub(crate) fn beats(to: Vec<SocketAddrV4>, beat: Beat) -> impl Iterator<Item = Self> {
        let message = Message::Beat(beat);
        to.into_iter().map(move |to| Self::Send {
            to,
            message: message.clone(),
        })
    }
}

/// State that one agent hands over to another.
#[derive(Debug)]
pub(crate) struct HandoverRequest {
    pub(crate) service: ServiceName,
    pub(crate) generation: Generation,
    pub(crate) content: Content,
}

/// Flows or dedupe records of a handover.
#[derive(Debug)]
pub(crate) enum Content {
    Flows(usher_flows::Transfer),
    Records(usher_dedupe::Transfer),
}

/// Answer to a handover: the flows, or the roster version of the records, taken over.
#[derive(Debug)]
pub(crate) enum HandoverReply {
    Flows(Vec<FlowId>),
    Records(Version),
}
