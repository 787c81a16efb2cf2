use std::net::SocketAddrV4;

use usher_types::{FlowId, Hint, HostId, Packet, Register, Registered, Relay, RequestId};

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
    /// A whole message from the caller; given out once.
    Deliver {
        /// Where the message came in.
        id: RequestId,
        /// The whole message.
        bytes: Vec<u8>,
    },
    /// Tells a balancer who holds a flow.
    Hint {
        /// Address of the balancer.
        balancer: SocketAddrV4,
        /// The message.
        hint: Hint,
    },
    /// Registers a flow with the owner of its bucket.
    Register {
        /// Address of the owner's agent.
        to: SocketAddrV4,
        /// The message.
        register: Register,
    },
    /// Answers a registration.
    Registered {
        /// Address of the agent that registered.
        to: SocketAddrV4,
        /// The message.
        registered: Registered,
    },
    /// Hands flows over to a host; report `HandedOver` or `HandoverFailed`.
    Handover {
        /// The receiver.
        host: HostId,
        /// The flows.
        transfer: Transfer,
    },
    /// Answer to the handover that was received.
    TookOver {
        /// Flows that the sender may discard and tombstones that it need not send elsewhere.
        flows: Vec<FlowId>,
    },
    /// The drain is complete: no flow and no directory entry is left here.
    Drained,
    /// Raises a counter by one.
    Count(Counter),
}
