//! Codecs for datagrams, caller packets and JSON-RPC payloads.
//!
//! Decoding never panics: malformed input gives a [`WireError`] that the receiver counts.

mod agent_message;
mod datagram;
mod error;
mod meta;
mod packet;
mod request;
mod response;
mod run;

pub use agent_message::AgentMessage;
pub use datagram::Datagram;
pub use error::WireError;
pub use meta::Meta;
pub use packet::{decode_packet, encode_packet};
pub use request::RequestMessage;
pub use response::ResponseMessage;
pub use run::{RUN_NOT_STARTED, RunRequest};
