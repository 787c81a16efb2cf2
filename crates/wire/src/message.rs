use usher_types::Message;

use crate::WireError;

// Raised when a message changes in a way that older processes cannot read.
const PROTOCOL_VERSION: u8 = 1;

/// Encodes a datagram: the protocol version, then the message.
///
/// # Errors
/// Fails when the message cannot be serialized.
///
/// ```
/// use usher_types::{Hint, Message};
/// use usher_wire::{decode_message, encode_message};
/// let flow = "10.0.0.1:4000>192.0.2.1:80#7".parse().unwrap();
/// let sent = Message::Hint(Hint { flow, holder: "127.0.0.1:9000".parse().unwrap() });
/// assert_eq!(decode_message(&encode_message(&sent)?)?, sent);
/// # Ok::<(), usher_wire::WireError>(())
/// ```
pub fn encode_message(message: &Message) -> Result<Vec<u8>, WireError> {
    postcard::to_extend(message, vec![PROTOCOL_VERSION]).map_err(WireError::Datagram)
}

/// Decodes a datagram.
///
/// # Errors
/// Fails with [`WireError::Version`] or [`WireError::Datagram`] on malformed input.
///
/// ```
/// assert!(usher_wire::decode_message(&[]).is_err());
/// ```
pub fn decode_message(bytes: &[u8]) -> Result<Message, WireError> {
    match bytes.split_first() {
        Some((&PROTOCOL_VERSION, rest)) => postcard::from_bytes(rest).map_err(WireError::Datagram),
        Some((&other, _)) => Err(WireError::Version(other)),
        None => Err(WireError::Datagram(
            postcard::Error::DeserializeUnexpectedEnd,
        )),
    }
}
