use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use usher_types::Payload;

use crate::{Meta, WireError};

/// A caller's JSON-RPC 2.0 request.
///
/// ```
/// let text = br#"{"jsonrpc":"2.0","id":1,"method":"book",
///     "params":{"meta":{"key":"0f","once":true},"body":{"slot":9}}}"#;
/// let request = usher_wire::RequestMessage::decode(text)?;
/// assert!(request.meta.once);
/// # Ok::<(), usher_wire::WireError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMessage {
    /// The caller's JSON-RPC id, repeated in the response.
    pub id: Value,
    /// Method name.
    pub method: String,
    /// Metadata that the system reads.
    pub meta: Meta,
    /// `params.body` as JSON text, not read by the system.
    pub body: Payload,
}

#[derive(Serialize, Deserialize)]
struct Envelope<'a> {
    jsonrpc: &'a str,
    id: Value,
    method: String,
    #[serde(borrow)]
    params: Params<'a>,
}

#[derive(Serialize, Deserialize)]
struct Params<'a> {
    meta: Meta,
    #[serde(borrow)]
    body: &'a RawValue,
}

impl RequestMessage {
    /// Encodes the request as JSON.
    ///
    /// # Errors
    /// Fails when `body` is not JSON text.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let body: &RawValue = serde_json::from_slice(&self.body).map_err(WireError::Request)?;
        let envelope = Envelope {
            jsonrpc: "2.0",
            id: self.id.clone(),
            method: self.method.clone(),
            params: Params {
                meta: self.meta.clone(),
                body,
            },
        };
        serde_json::to_vec(&envelope).map_err(WireError::Request)
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// Fails with [`WireError::Request`] on malformed input.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let envelope: Envelope<'_> = serde_json::from_slice(bytes).map_err(WireError::Request)?;
        Ok(Self {
            id: envelope.id,
            method: envelope.method,
            meta: envelope.params.meta,
            body: Payload::from(envelope.params.body.get().as_bytes()),
        })
    }
}
