use std::net::SocketAddrV4;

use usher_types::{
    Attempt, Offer, OfferOutcome, OfferOutcomeAck, OfferReply, Outcome, Payload, RequestId,
    RequestKey, Span, Time,
};

use crate::Counter;

/// An action that the owner of the scheduler carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the key owner for permission to dispatch; answered by `Permit`, `Settled` or `Denied`.
    Claim {
        /// The request.
        id: RequestId,
        /// Its key.
        key: RequestKey,
        /// Number of this transmission.
        attempt: Attempt,
        /// Time since the caller's first attempt.
        age: Span,
        /// When the caller stops waiting.
        deadline: Time,
    },
    /// Run the request; answered by `Finished`, `Lost` or `Refused`.
    Dispatch {
        /// The request.
        id: RequestId,
        /// Its key.
        key: RequestKey,
        /// Method name.
        method: String,
        /// Parameters.
        body: Payload,
        /// The backend server does not start the run after this time.
        start_by: Time,
        /// When the caller stops waiting.
        deadline: Time,
    },
    /// Cancel a run; its result is still reported.
    CancelRun {
        /// The request.
        id: RequestId,
    },
    /// Send the outcome to the caller.
    Reply {
        /// The request.
        id: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Report the outcome of a granted key to its owner; `NotRun` releases the grant.
    Complete {
        /// The key.
        key: RequestKey,
        /// Outcome under that key.
        outcome: Outcome,
    },
    /// Offer a request to a peer.
    Offer {
        /// The peer.
        to: SocketAddrV4,
        /// The offer.
        offer: Offer,
    },
    /// Reply to a peer's offer.
    OfferReply {
        /// The peer.
        to: SocketAddrV4,
        /// The reply.
        reply: OfferReply,
    },
    /// Report the outcome of a request that was taken from a peer.
    OfferOutcome {
        /// The peer.
        to: SocketAddrV4,
        /// The outcome.
        outcome: OfferOutcome,
    },
    /// Acknowledge an outcome that a peer reported.
    OfferOutcomeAck {
        /// The peer.
        to: SocketAddrV4,
        /// The acknowledgement.
        outcome_ack: OfferOutcomeAck,
    },
    /// The drain is complete: the scheduler holds no more requests.
    Drained,
    /// Increment a counter.
    Count(Counter),
}
