use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{
    Offer, OfferOutcome, OfferOutcomeAck, OfferReply, Outcome, Profile, Request, RequestId, Slots,
    Span, Time,
};

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's request arrived on a flow that this agent holds.
    ///
    /// Copies with the same id may arrive only until the request has an outcome.
    Arrive(Request),
    /// The key owner granted the claim of a request.
    Permit {
        /// The request.
        id: RequestId,
        /// The run must start before this time.
        start_by: Time,
    },
    /// The key owner reported the outcome of the key, which may be `Unknown`.
    Settled {
        /// The request.
        id: RequestId,
        /// Outcome for the caller.
        outcome: Outcome,
    },
    /// The key owner cannot be reached or may not grant claims.
    Denied {
        /// The request.
        id: RequestId,
    },
    /// The backend server returned a response, `Answered` or `Failed`.
    Finished {
        /// The request.
        id: RequestId,
        /// The response.
        outcome: Outcome,
    },
    /// The request may have run, but its response will not arrive.
    Lost {
        /// The request.
        id: RequestId,
    },
    /// The backend server did not start the run.
    Refused {
        /// The request.
        id: RequestId,
    },
    /// The caller no longer waits for the response.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// A peer offers a request.
    Offered(Offer),
    /// A peer replies to an offer.
    OfferReply {
        /// The peer.
        from: SocketAddrV4,
        /// Its reply.
        reply: OfferReply,
    },
    /// A peer reports the outcome of a request that it took.
    OfferOutcome(OfferOutcome),
    /// A peer acknowledges an outcome.
    OfferOutcomeAck(OfferOutcomeAck),
    /// Estimated waits that the other agents of the service reported, by address.
    Peers(Vec<(SocketAddrV4, Span)>),
    /// A new version of the service's profile is in force.
    Profile(Arc<Profile>),
    /// The number of slots of the backend server changed.
    Slots(Slots),
    /// A planned stop begins.
    Drain,
    /// A timer is due.
    Tick,
}
