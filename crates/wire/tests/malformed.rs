//! Guards against panics and silent acceptance on malformed input.

use assert_matches::assert_matches;
use proptest::prelude::{any, proptest};
use usher_wire::{RequestMessage, ResponseMessage, WireError, decode_message, decode_packet};

proptest! {
    // Guards against a decoder that panics on bytes from the network.
    #[test]
    fn decoders_survive_arbitrary_bytes(bytes in any::<Vec<u8>>()) {
        let _ = decode_message(&bytes);
        let _ = decode_packet(&bytes);
        let _ = RequestMessage::decode(&bytes);
        let _ = ResponseMessage::decode(&bytes);
    }
}

// Guards against reading a newer protocol version as the current one.
#[test]
fn other_protocol_version_is_refused() {
    assert_matches!(decode_message(&[9, 0, 0]), Err(WireError::Version(9)));
}

// Guards against requests whose metadata has a misspelt member.
#[test]
fn unknown_metadata_is_refused() {
    let text = br#"{"jsonrpc":"2.0","id":1,"method":"m","params":{"meta":{"key":"1","onse":true},"body":{}}}"#;
    assert_matches!(RequestMessage::decode(text), Err(WireError::Request(_)));
}
