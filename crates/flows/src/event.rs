use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{
    FlowId, Generation, HostId, Registration, RegistrationAck, Relay, RequestId, Roster, Span,
    Version,
};

use crate::Transfer;

/// Input of the flow table.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's packet, received from a balancer or another agent.
    Relay(Relay),
    /// The service's roster; older versions are ignored.
    Roster(Arc<Roster>),
    /// Every member has adopted this roster version; the settle time starts.
    Adopted(Version),
    /// Oldest generation of the service's address that is served; lower values are ignored.
    Generation(Generation),
    /// Estimated queue wait of this host.
    Wait(Span),
    /// The service's reply to a delivered message.
    ///
    /// An empty reply is not sent; it only marks the message as answered.
    Reply {
        /// Flow and number of the answered message.
        id: RequestId,
        /// The complete reply.
        bytes: Vec<u8>,
    },
    /// Another agent registers a flow.
    Registration {
        /// Address of the sender.
        from: SocketAddrV4,
        /// The message.
        registration: Registration,
    },
    /// A bucket owner answers a registration.
    RegistrationAck {
        /// Address of the sender.
        from: SocketAddrV4,
        /// The message.
        registration_ack: RegistrationAck,
    },
    /// Another agent hands over flows; answered by `Action::TookOver`.
    Handover(Transfer),
    /// A host acknowledged the flows of a handover.
    HandedOver {
        /// Receiver of the transfer.
        to: HostId,
        /// Flows listed in its `TookOver`.
        flows: Vec<FlowId>,
    },
    /// No acknowledgement arrived; the receiver may or may not have the transfer.
    HandoverFailed {
        /// Receiver of the transfer.
        to: HostId,
    },
    /// A planned stop or drain begins.
    Drain,
    /// The time returned by `next_timer` has been reached.
    Tick,
}
