use serde::{Deserialize, Serialize};
use usher_types::{
    Beat, BeatAck, Claim, Complete, Completed, Hint, Offer, OfferDone, OfferOutcome, OfferReply,
    Register, Registered, Relay, Verdict,
};

use crate::WireError;

// Raised when a message changes in a way that older processes cannot read.
const PROTOCOL: u8 = 1;

/// A message between two processes of the system, in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A caller's packet on its way to an agent.
    Relay(Relay),
    /// Tells a balancer which agent holds a flow.
    Hint(Hint),
    /// A heartbeat.
    Beat(Beat),
    /// Answer to a heartbeat.
    BeatAck(BeatAck),
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

impl Datagram {
    /// Bytes of the datagram: the protocol version, then the message.
    ///
    /// # Errors
    /// Fails only when memory for the bytes cannot be had.
    ///
    /// ```
    /// use usher_types::{Completed, RequestKey};
    /// use usher_wire::Datagram;
    /// let sent = Datagram::Completed(Completed { key: RequestKey::new(7) });
    /// assert_eq!(Datagram::decode(&sent.encode()?)?, sent);
    /// # Ok::<(), usher_wire::WireError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        postcard::to_extend(self, vec![PROTOCOL]).map_err(WireError::Datagram)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Fails with [`WireError::Version`] or [`WireError::Datagram`] on malformed input.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        match bytes.split_first() {
            Some((&PROTOCOL, rest)) => postcard::from_bytes(rest).map_err(WireError::Datagram),
            Some((&other, _)) => Err(WireError::Version(other)),
            None => Err(WireError::Datagram(
                postcard::Error::DeserializeUnexpectedEnd,
            )),
        }
    }
}
