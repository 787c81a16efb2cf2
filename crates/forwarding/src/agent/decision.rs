use usher_types::{Rank, Span};

use crate::{Candidates, FlowKey, ForwardHeader, NodeId};

/// An agent's decision about a packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inbound {
    /// Where the packet goes.
    pub action: InboundAction,
    /// Balancer to notify that this agent's backend server holds the flow.
    pub notify: Option<NodeId>,
}

impl Inbound {
    /// An action without a notice.
    pub(crate) const fn of(action: InboundAction) -> Self {
        Self {
            action,
            notify: None,
        }
    }

    /// The decision about an extra opening packet, which is delivered at once or dropped.
    ///
    /// The flow may be open at the other host, so it must not be refused, and a packet that is passed
    /// on would open it at a third one.
    pub(crate) fn only_deliver(self) -> Self {
        match self.action {
            InboundAction::Deliver { .. } => self,
            _ => Self::of(InboundAction::DropExtra),
        }
    }
}

/// What an agent does with a packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InboundAction {
    /// Deliver to the backend server, which echoes the token if it returns the packet.
    Deliver {
        /// Value to write into the packet; 0 if the packet cannot be returned.
        token: u32,
        /// The packet opens the flow at this backend server.
        opening: bool,
    },
    /// Deliver to the backend server, and forward a copy: the backend server may not hold the flow,
    /// and may not answer either.
    DeliverAndForward {
        /// Value to write into the delivered packet.
        token: u32,
        /// The agent that gets the copy.
        to: NodeId,
        /// The forward header to send with the copy.
        forward_header: ForwardHeader,
    },
    /// Forward to another agent.
    Forward {
        /// The agent.
        to: NodeId,
        /// The forward header to send with the packet.
        forward_header: ForwardHeader,
        /// Why the packet was not delivered here.
        reason: ForwardReason,
    },
    /// Refuse the flow; the caller gets a reset.
    Refuse {
        /// The flow.
        flow: FlowKey,
        /// Position up to which the caller has received.
        received: u32,
        /// Shortest expected wait of the agents that the packet visited.
        wait: Option<Span>,
        /// The caller's share, if the flow was refused because not all can be served in time.
        refusal: Option<Refusal>,
    },
    /// Return the packet to the balancer, since no candidate holds its flow.
    Missing {
        /// Balancer that sent the packet.
        origin: NodeId,
        /// The candidates.
        visited: Candidates,
    },
    /// Queue the packet, behind earlier ones of its flow, until a slot is free; see [`Release`].
    Hold,
    /// Drop the packet: it matches no known flow, or its flow is already queued.
    Drop,
    /// Drop an extra opening packet, which the host cannot take at once.
    DropExtra,
}

/// Rank and share of a caller whose flow is refused for lack of room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Rank of the route.
    pub rank: Rank,
    /// Requests of the caller in this rank that are in progress or waiting, with the refused one.
    pub share: usize,
    /// Requests of all callers and ranks that are in progress or waiting.
    pub total: usize,
}

/// A queued flow that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The flow.
    pub flow: FlowKey,
    /// Decision about the queued packets: an opening packet, or packets of an open flow, which are
    /// delivered or dropped in their order.
    pub inbound: Inbound,
}

/// Why an agent forwarded a packet instead of delivering it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardReason {
    /// The opening packet is for another service.
    OtherService,
    /// The backend server takes no new flows, or has sent no heartbeat yet.
    NotServing,
    /// The data centre of the host is evacuated.
    Evacuated,
    /// The agent was paused and does not know yet whether its data centre is evacuated.
    Outdated,
    /// The backend server leaves opening packets unanswered.
    Silent,
    /// The backend server is cold and has got as many requests as it takes in a second.
    Cold,
    /// All slots are taken.
    Busy,
    /// The backend server returned the packet.
    Returned,
    /// The backend server does not hold the flow.
    NotHeld,
}

impl ForwardReason {
    /// Name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OtherService => "other-service",
            Self::NotServing => "not-serving",
            Self::Evacuated => "evacuated",
            Self::Outdated => "outdated",
            Self::Silent => "silent",
            Self::Cold => "cold",
            Self::Busy => "busy",
            Self::Returned => "returned",
            Self::NotHeld => "not-held",
        }
    }
}

/// An agent's decision about a packet from its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outbound {
    /// Send to the caller.
    ToCaller {
        /// Processing time, if the packet is the first of an answer.
        work: Option<Span>,
    },
    /// A returned packet of the caller, which is decided on again.
    Returned(Inbound),
    /// A reset that is not sent: a backend server that has just started does not hold the flow.
    Withheld,
}
