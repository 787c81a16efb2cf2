/// Events that the flow table counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Counter {
    /// A flow was accepted.
    Accepted,
    /// An `Open` was forwarded to the second candidate.
    Hunted,
    /// A caller closed its flow.
    Closed,
    /// A flow without traffic expired.
    Expired,
    /// A `Reset` was sent because no agent holds the flow.
    Reset,
    /// Dropped: the relay is for another service.
    WrongService,
    /// Dropped: the relay is for an older generation of the address.
    OldGeneration,
    /// Dropped: the flow is unknown here, but another agent may hold it.
    UnknownFlow,
    /// Dropped: the flow is already closed.
    LatePacket,
    /// Dropped: every current candidate is draining.
    NoCandidate,
    /// Dropped: the relay was forwarded too often.
    HopLimit,
    /// Dropped: a body that callers never send, or a segment contradicting its message.
    Malformed,
    /// Dropped: a limit on incomplete or unanswered messages is reached.
    Overflow,
    /// A segment or message was received again.
    Duplicate,
    /// A reply was dropped: its flow or request is gone, or it is too long.
    ReplyDropped,
    /// Another agent holds the same flow; this agent hands its state over.
    Conflict,
    /// A flow was taken over from another agent.
    TakenOver,
    /// A flow was handed over to another agent.
    HandedOver,
}
