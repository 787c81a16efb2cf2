use usher_types::Span;

/// Length of a peer lease.
pub const LEASE: Span = Span::from_secs(3);

/// Longest time that a datagram can be under way.
pub const PACKET_LIFETIME: Span = Span::from_secs(30);

/// How long a settled key is remembered.
pub const RETENTION: Span = Span::from_secs(600);

/// How long a granted request may run before its outcome counts as unknown.
pub const RUN_LIMIT: Span = Span::from_secs(300);

/// Largest answer kept with a record, in bytes.
pub(crate) const ANSWER_LIMIT: usize = 8 * 1024;

/// How long a stopped roster is kept, so that handed-over records spare its keys the freshness margin.
pub(crate) const FOLD_AFTER: Span = Span::from_secs(60);

/// Pause that an owner without a lease or with unsettled predecessors asks for.
pub(crate) const RETRY: Span = Span::from_millis(100);

/// First and longest pause between transmissions.
pub(crate) const RESEND: Span = Span::from_millis(100);
pub(crate) const RESEND_MAX: Span = Span::from_secs(5);

/// After this time a claim is replaced by a new one, because its grant would have little time left.
pub(crate) const ROUND: Span = Span::from_millis(1_500);

/// Longer than `span` on any clock within the drift bound of 1 %, applied twice.
pub(crate) fn longer(span: Span) -> Span {
    span.scale(1.02)
}

/// Shorter than `span` on any clock within the drift bound of 1 %, applied twice.
pub(crate) fn shorter(span: Span) -> Span {
    span.scale(0.98)
}

/// Silence after which a process counts as having been paused.
pub(crate) const SILENCE: Span = Span::from_secs(2);

/// Most by which `age` can be understated: a late caller packet, an unnoticed pause, a late claim.
///
/// A claim under way for longer than a lease gets a grant that has already expired.
pub(crate) fn lateness() -> Span {
    longer(PACKET_LIFETIME + SILENCE + LEASE)
}
