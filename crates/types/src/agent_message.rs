use crate::{
    Claim, Complete, Completed, Offer, OfferDone, OfferOutcome, OfferReply, Register, Registered,
    Verdict,
};
use serde::{Deserialize, Serialize};

/// A message between two agents of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Registers a flow with the owner of its bucket.
    Register(Register),
    /// Answer to a registration.
    Registered(Registered),
    /// Asks for leave to dispatch.
    Claim(Claim),
    /// Answer to a claim.
    Verdict(Verdict),
    /// Reports the outcome of a granted request.
    Complete(Complete),
    /// Answer to a report.
    Completed(Completed),
    /// Offers a queued request.
    Offer(Offer),
    /// Answer to an offer.
    OfferReply(OfferReply),
    /// Outcome of a request that was taken.
    OfferOutcome(OfferOutcome),
    /// Answer to an outcome.
    OfferDone(OfferDone),
}
