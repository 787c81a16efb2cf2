use usher_types::Span;

/// Length of a peer lease.
pub const LEASE: Span = Span::from_secs(3);

/// Longest time between the sending and the delivery of a datagram.
pub const PACKET_LIFETIME: Span = Span::from_secs(30);

/// How long a settled key is remembered.
pub const RETENTION: Span = Span::from_secs(600);

/// How long a granted request may run before its outcome counts as unknown.
pub const RUN_LIMIT: Span = Span::from_secs(300);

/// Largest answer kept with a record, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024;

/// How long a stopped roster is kept.
///
/// While it is kept, records handed over by its owners exempt their keys from the age check.
pub(crate) const STOPPED_RETENTION: Span = Span::from_secs(60);

/// Pause before a new claim when the owner has no lease or has unsettled predecessors.
pub(crate) const RETRY_DELAY: Span = Span::from_millis(100);

/// First pause between transmissions of a message; it doubles each time.
pub(crate) const RESEND_DELAY: Span = Span::from_millis(100);
/// Longest pause between transmissions of a message.
pub(crate) const RESEND_DELAY_MAX: Span = Span::from_secs(5);

/// After this time a claim is replaced by a new one, because its grant would have little time left.
pub(crate) const CLAIM_LIFETIME: Span = Span::from_millis(1_500);

/// At least `span` on any clock: adds the drift bound of 1 % twice.
pub(crate) fn upper_bound(span: Span) -> Span {
    span.scale(1.02)
}

/// At most `span` on any clock: subtracts the drift bound of 1 % twice.
pub(crate) fn lower_bound(span: Span) -> Span {
    span.scale(0.98)
}

/// Time without an event after which a process counts as having been paused.
pub(crate) const STALL_THRESHOLD: Span = Span::from_secs(2);

/// Most by which the `age` of a claim can be understated.
///
/// Adds up a late caller packet, an unnoticed pause and a late claim. A claim that takes longer than
/// a lease to arrive gets a grant that has already expired.
pub(crate) fn age_uncertainty() -> Span {
    upper_bound(PACKET_LIFETIME + STALL_THRESHOLD + LEASE)
}
