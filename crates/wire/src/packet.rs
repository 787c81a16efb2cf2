use usher_types::Packet;

use crate::WireError;

/// Encodes a packet between the fabric and the system.
///
/// # Errors
/// Fails when the packet cannot be serialized.
pub fn encode_packet(packet: &Packet) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(packet).map_err(WireError::Packet)
}

/// Decodes a packet between the fabric and the system.
///
/// # Errors
/// Fails with [`WireError::Packet`] on malformed input.
///
/// ```
/// assert!(usher_wire::decode_packet(b"not a packet").is_err());
/// ```
pub fn decode_packet(bytes: &[u8]) -> Result<Packet, WireError> {
    postcard::from_bytes(bytes).map_err(WireError::Packet)
}
