//! Codecs for datagrams, caller packets and JSON-RPC payloads.
//!
//! Decoding never panics: malformed input returns a [`WireError`], which the receiver counts.

mod cancel;
mod error;
mod message;
mod meta;
mod packet;
mod request;
mod response;
mod run;

pub use cancel::CancelMessage;
pub use error::WireError;
pub use message::{decode_message, encode_message};
pub use meta::Meta;
pub use packet::{decode_packet, encode_packet};
pub use request::RequestMessage;
pub use response::ResponseMessage;
pub use run::{RUN_NOT_STARTED, RunRequest};
