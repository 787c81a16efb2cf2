use usher_types::Span;

use crate::{FlowKey, NodeId, Trip};

/// What an agent does with a packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inbound {
    /// Where the packet goes.
    pub step: Step,
    /// Balancer that is told that this agent's backend server holds the flow.
    pub tell: Option<NodeId>,
}

/// Where a packet of a caller goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// To the backend server; the token comes back with a packet that it returns.
    Deliver {
        /// Value to write into the packet; 0 when it cannot come back.
        token: u32,
        /// The flow begins here.
        opening: bool,
    },
    /// To another agent.
    Forward {
        /// The agent.
        to: NodeId,
        /// The trip as that agent gets it.
        trip: Trip,
        /// Why it was not delivered here.
        reason: Passed,
    },
    /// The flow is refused: the caller gets a reset.
    Refuse {
        /// The flow.
        flow: FlowKey,
        /// Position up to which the caller has received.
        received: u32,
        /// Shortest wait that any agent offered.
        wait: Option<Span>,
    },
    /// No agent of the trip holds the flow; its balancer is told.
    Missing {
        /// The flow.
        flow: FlowKey,
        /// Balancer that sent the packet.
        origin: NodeId,
        /// Position up to which the caller has received.
        received: u32,
    },
    /// Kept until a slot is free; see [`Release`].
    Hold,
    /// Nowhere: the packet names nothing that is known, or its flow waits already.
    Drop,
}

/// A flow that has waited for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The flow.
    pub flow: FlowKey,
    /// What becomes of the packet that was held.
    pub inbound: Inbound,
}

/// Why an agent passed a packet on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passed {
    /// The packet is for another service.
    OtherService,
    /// The backend server takes no new flows, or has not been heard yet.
    NotServing,
    /// The backend server does not answer.
    Silent,
    /// All slots are taken.
    Busy,
    /// The backend server returned it.
    Returned,
    /// The backend server does not hold the flow.
    NotHeld,
}

impl Passed {
    /// The reason as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OtherService => "other-service",
            Self::NotServing => "not-serving",
            Self::Silent => "silent",
            Self::Busy => "busy",
            Self::Returned => "returned",
            Self::NotHeld => "not-held",
        }
    }
}

/// What an agent does with a packet of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outbound {
    /// To the caller.
    ToCaller {
        /// Time that the request took which the packet begins to answer.
        work: Option<Span>,
    },
    /// Back into the system, as a packet of the caller.
    Inward(Inbound),
}
