use thiserror::Error;

/// Malformed input from another process or a caller.
#[derive(Debug, Error)]
pub enum WireError {
    /// Bytes that are not a datagram of this protocol version.
    #[error("MU-5001: malformed datagram: {0}")]
    Datagram(#[source] postcard::Error),
    /// Bytes that are not a caller packet.
    #[error("MU-5002: malformed packet: {0}")]
    Packet(#[source] postcard::Error),
    /// A message that is not a JSON-RPC 2.0 request with metadata.
    #[error("MU-5003: malformed request: {0}")]
    Request(#[source] serde_json::Error),
    /// A message that is not a JSON-RPC 2.0 response.
    #[error("MU-5004: malformed response: {0}")]
    Response(#[source] serde_json::Error),
    /// A datagram of another protocol version.
    #[error("MU-5005: protocol version {0} is not supported")]
    Version(u8),
}
