use crate::{
    Claim, ClaimReply, Completion, CompletionAck, Offer, OfferOutcome, OfferOutcomeAck, OfferReply,
    Registration, RegistrationAck,
};
use serde::{Deserialize, Serialize};

/// A message between two agents of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Registers a flow with the owner of its bucket.
    #[serde(rename = "Register")]
    Registration(Registration),
    /// Answer to a registration.
    #[serde(rename = "Registered")]
    RegistrationAck(RegistrationAck),
    /// Asks the owner of a request key for permission to dispatch.
    Claim(Claim),
    /// Answer to a claim.
    #[serde(rename = "Verdict")]
    ClaimReply(ClaimReply),
    /// Reports the outcome of a request whose claim was granted.
    #[serde(rename = "Complete")]
    Completion(Completion),
    /// Answer to a `Completion`.
    #[serde(rename = "Completed")]
    CompletionAck(CompletionAck),
    /// Offers a queued request to another agent.
    Offer(Offer),
    /// Answer to an offer.
    OfferReply(OfferReply),
    /// Outcome of an offered request that the receiver took.
    OfferOutcome(OfferOutcome),
    /// Answer to an `OfferOutcome`.
    #[serde(rename = "OfferDone")]
    OfferOutcomeAck(OfferOutcomeAck),
}
