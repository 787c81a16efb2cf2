use std::net::SocketAddrV4;

use usher_types::{FlowId, Hint, HostId, Packet, Registration, RegistrationAck, Relay, RequestId};

use crate::{Counter, Transfer};

/// Output of the flow table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a relay to another agent.
    Forward {
        /// Address of the agent.
        to: SocketAddrV4,
        /// The relay.
        relay: Relay,
    },
    /// Sends a packet to the caller through the fabric.
    Send(Packet),
    /// Passes a complete message from the caller to the service, exactly once.
    Deliver {
        /// Flow and number of the message.
        id: RequestId,
        /// The complete message.
        bytes: Vec<u8>,
    },
    /// Tells a balancer which agent holds a flow.
    Hint {
        /// Address of the balancer.
        balancer: SocketAddrV4,
        /// The message.
        hint: Hint,
    },
    /// Registers a flow with the owner of its bucket.
    Registration {
        /// Address of the owner's agent.
        to: SocketAddrV4,
        /// The message.
        registration: Registration,
    },
    /// Answers a registration.
    RegistrationAck {
        /// Address of the agent that registered.
        to: SocketAddrV4,
        /// The message.
        registration_ack: RegistrationAck,
    },
    /// Hands flows over to a host; answered by `Event::HandedOver` or `Event::HandoverFailed`.
    Handover {
        /// The receiver.
        host: HostId,
        /// The flows.
        transfer: Transfer,
    },
    /// Acknowledges a received handover.
    TookOver {
        /// Flows the sender may discard and tombstones it need not send elsewhere.
        flows: Vec<FlowId>,
    },
    /// The drain is complete: nothing is left to hand over or finish.
    Drained,
    /// Increments a counter.
    Count(Counter),
}
