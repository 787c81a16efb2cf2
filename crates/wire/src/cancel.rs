use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::WireError;

/// A JSON-RPC 2.0 notification that cancels a caller's request on the same flow.
///
/// ```
/// let text = br#"{"jsonrpc":"2.0","method":"cancel","params":{"id":7}}"#;
/// assert_eq!(usher_wire::CancelMessage::decode(text)?.id, 7);
/// # Ok::<(), usher_wire::WireError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelMessage {
    /// JSON-RPC id of the request to cancel.
    pub id: Value,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    jsonrpc: String,
    method: Method,
    params: Params,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Method {
    Cancel,
}

#[derive(Serialize, Deserialize)]
struct Params {
    id: Value,
}

impl CancelMessage {
    /// Encodes the notification as JSON.
    ///
    /// # Errors
    /// Fails when the notification cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let params = Params {
            id: self.id.clone(),
        };
        let envelope = Envelope {
            jsonrpc: "2.0".to_owned(),
            method: Method::Cancel,
            params,
        };
        serde_json::to_vec(&envelope).map_err(WireError::Request)
    }

    /// Decodes a notification.
    ///
    /// # Errors
    /// Fails with [`WireError::Request`] on any other message.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let envelope: Envelope = serde_json::from_slice(bytes).map_err(WireError::Request)?;
        Ok(Self {
            id: envelope.params.id,
        })
    }
}
