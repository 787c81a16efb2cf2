use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use usher_types::{Outcome, Payload, Refusal, Span};

use crate::WireError;

const NOT_RUN: i32 = -32_001;
const UNKNOWN: i32 = -32_002;

/// A JSON-RPC 2.0 response to a caller.
///
/// Error code -32001 says that the request did not run, -32002 that the outcome is unknown.
///
/// ```
/// use usher_types::Outcome;
/// use usher_wire::ResponseMessage;
/// let sent = ResponseMessage { id: 1.into(), outcome: Outcome::Unknown };
/// assert_eq!(ResponseMessage::decode(&sent.encode()?)?, sent);
/// # Ok::<(), usher_wire::WireError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseMessage {
    /// JSON-RPC id of the request.
    pub id: Value,
    /// Outcome that is reported to the caller.
    pub outcome: Outcome,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    jsonrpc: String,
    id: Value,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    result: Option<Box<RawValue>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    error: Option<Box<RawValue>>,
}

#[derive(Serialize, Deserialize)]
struct ErrorObject {
    code: i32,
    message: String,
    #[serde(default)]
    data: Option<ErrorData>,
}

#[derive(Serialize, Deserialize)]
struct ErrorData {
    refusal: Refusal,
    retry_after_ms: u64,
}

impl ResponseMessage {
    /// Encodes the response as JSON.
    ///
    /// # Errors
    /// Fails when the outcome's payload is not JSON text.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let (result, error) = match &self.outcome {
            Outcome::Answered(payload) => (Some(raw(payload)?), None),
            Outcome::Failed(payload) => (None, Some(raw(payload)?)),
            Outcome::NotRun { refusal, retry } => (None, Some(not_run(*refusal, *retry)?)),
            Outcome::Unknown => (None, Some(unknown()?)),
        };
        let envelope = Envelope {
            jsonrpc: "2.0".to_owned(),
            id: self.id.clone(),
            result,
            error,
        };
        serde_json::to_vec(&envelope).map_err(WireError::Response)
    }

    /// Decodes a response.
    ///
    /// # Errors
    /// Fails with [`WireError::Response`] on malformed input.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let envelope: Envelope = serde_json::from_slice(bytes).map_err(WireError::Response)?;
        let outcome = match (envelope.result, envelope.error) {
            (_, Some(error)) => decode_error(&error)?,
            (Some(result), None) => Outcome::Answered(payload(&result)),
            // serde decodes `"result": null` as an absent result.
            (None, None) => Outcome::Answered(Payload::from(b"null".as_slice())),
        };
        Ok(Self {
            id: envelope.id,
            outcome,
        })
    }
}

fn raw(payload: &Payload) -> Result<Box<RawValue>, WireError> {
    serde_json::from_slice(payload).map_err(WireError::Response)
}

fn payload(text: &RawValue) -> Payload {
    Payload::from(text.get().as_bytes())
}

fn not_run(refusal: Refusal, retry: Span) -> Result<Box<RawValue>, WireError> {
    error_object(&ErrorObject {
        code: NOT_RUN,
        message: format!("MU-{}: not run", refusal.code()),
        data: Some(ErrorData {
            refusal,
            retry_after_ms: retry.as_millis(),
        }),
    })
}

fn unknown() -> Result<Box<RawValue>, WireError> {
    error_object(&ErrorObject {
        code: UNKNOWN,
        message: "MU-4100: outcome unknown".to_owned(),
        data: None,
    })
}

fn error_object(object: &ErrorObject) -> Result<Box<RawValue>, WireError> {
    serde_json::value::to_raw_value(object).map_err(WireError::Response)
}

fn decode_error(error: &RawValue) -> Result<Outcome, WireError> {
    let fields: Value = serde_json::from_str(error.get()).map_err(WireError::Response)?;
    match fields["code"].as_i64() {
        Some(code) if code == i64::from(UNKNOWN) => Ok(Outcome::Unknown),
        Some(code) if code == i64::from(NOT_RUN) => {
            let data: ErrorData =
                serde_json::from_value(fields["data"].clone()).map_err(WireError::Response)?;
            let retry = Span::from_millis(data.retry_after_ms);
            Ok(Outcome::NotRun {
                refusal: data.refusal,
                retry,
            })
        }
        _ => Ok(Outcome::Failed(payload(error))),
    }
}
