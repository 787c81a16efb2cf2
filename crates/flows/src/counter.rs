/// Incidents that the table counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Counter {
    /// A flow was accepted.
    Accepted,
    /// An `Open` was passed on to the second candidate.
    Hunted,
    /// A flow was closed by its caller.
    Closed,
    /// A flow expired without traffic.
    Expired,
    /// A caller was told that no agent holds its flow.
    Reset,
    /// Dropped: the relay is for another service.
    WrongService,
    /// Dropped: the relay is for an older generation of the address.
    OldGeneration,
    /// Dropped: the flow is unknown and may be held elsewhere.
    UnknownFlow,
    /// Dropped: the flow was closed before.
    LatePacket,
    /// Dropped: every current candidate is draining.
    NoCandidate,
    /// Dropped: the relay was forwarded too often.
    HopLimit,
    /// Dropped: the body does not come from a caller, or the segment contradicts its message.
    Malformed,
    /// Dropped: a limit on incomplete or unanswered messages is reached.
    Overflow,
    /// A segment or message was received again.
    Duplicate,
    /// A reply could not be queued: its flow is gone or it is too long.
    ReplyDropped,
    /// Another agent holds the flow too; this one hands its state over.
    Conflict,
    /// A flow was taken over from another agent.
    TakenOver,
    /// A flow was handed over to another agent.
    HandedOver,
}
