//! Core types of marigoldusher: ids, sizes, rates, time, packets, requests and rosters.
//!
//! Nothing here performs I/O or reads a clock.

mod agent_message;
mod beat;
mod centres;
mod claim;
mod error;
mod fleet;
mod flow_id;
mod message;
mod name;
mod number;
mod offer;
mod outcome;
mod packet;
mod payload;
mod profile;
mod ratio;
mod registration;
mod relay;
mod request;
mod request_key;
mod retry_budget;
mod roster;
mod service;
mod span;
mod time;
mod version;

pub use agent_message::AgentMessage;
pub use beat::{Beat, BeatAck, Peer};
pub use centres::Centres;
pub use claim::{Claim, ClaimReply, Completion, CompletionAck, Decision};
pub use error::ParseError;
pub use fleet::{Balancer, Fleet};
pub use flow_id::FlowId;
pub use message::Message;
pub use name::{DataCentre, HostId, InstanceId, ProfileName, Region, ServiceName};
pub use number::{
    Attempt, AttemptBudget, Bucket, Buckets, ByteCount, ColdRate, Era, Generation, Incarnation,
    Label, MessageId, Priority, Rank, Sequence, Slots, Weight,
};
pub use offer::{Offer, OfferOutcome, OfferOutcomeAck, OfferReply};
pub use outcome::{Outcome, Refusal};
pub use packet::{Body, Packet, Segment};
pub use payload::Payload;
pub use profile::{MethodRule, Profile};
pub use ratio::{Rate, Share};
pub use registration::{Hint, Registration, RegistrationAck};
pub use relay::{Relay, RelayMode};
pub use request::{Request, RequestId};
pub use request_key::RequestKey;
pub use retry_budget::RetryBudget;
pub use roster::{HostState, Member, PastRoster, Roster};
pub use service::Service;
pub use span::Span;
pub use time::Time;
pub use version::Version;
