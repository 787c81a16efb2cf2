use std::io;
use std::net::SocketAddrV4;

use async_std::future::timeout;
use surf::http::Method;
use surf::{Client, Config, Request, Url};
use usher_config::{Condition, Object, ObjectKey, Write};
use usher_types::{Span, Version};

use crate::backoff::duration;
use crate::batch::{parse_object, parse_write_id};
use crate::{PlatformError, encode};

pub(crate) const OK: u16 = 200;
pub(crate) const CREATED: u16 = 201;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const PRECONDITION_FAILED: u16 = 412;
const WRITE_ID: &str = "x-write-id";

/// Sends single requests, without repeating any.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    client: Client,
    base: Url,
}

/// Why a request got no usable answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The connection was refused, so the store did not see the request.
    NotSent(String),
    /// The store may have acted on the request.
    NoAnswer(String),
}

impl Failure {
    pub(crate) fn cause(self) -> String {
        match self {
            Self::NotSent(cause) | Self::NoAnswer(cause) => cause,
        }
    }
}

/// An answer of the store.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) version: Option<Version>,
    pub(crate) bytes: Vec<u8>,
    write_id: String,
}

impl Reply {
    /// The object that the answer shows; `None` when it never existed.
    pub(crate) fn object(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        let Some(version) = self.version else {
            return Ok(None);
        };
        let json = match self.bytes.as_slice() {
            [] => None,
            bytes => Some(
                serde_json::from_slice(bytes)
                    .map_err(|error| PlatformError::Unreadable(error.to_string()))?,
            ),
        };
        parse_object(key.clone(), version, parse_write_id(&self.write_id), json).map(Some)
    }
}

impl Exchange {
    pub(crate) fn new(address: SocketAddrV4) -> Self {
        // Pooled connections are reused after a timed-out request, and the late answer would then
        // be taken for the answer to the next request.
        let config = Config::new().set_http_keep_alive(false).set_timeout(None);
        let client = Client::try_from(config).unwrap_or_else(|error| match error {});
        let base = format!("http://{address}/v1/objects/");
        Self {
            client,
            base: base.parse().expect("an address makes a valid URL"),
        }
    }

    pub(crate) fn get(&self, key: &ObjectKey) -> Request {
        Request::new(Method::Get, self.url(key))
    }

    pub(crate) fn list(&self, kind: Option<&str>, since: Version, wait: Span) -> Request {
        let mut url = self.base.clone();
        url.set_path("/v1/objects");
        let mut query = url.query_pairs_mut();
        if let Some(kind) = kind {
            query.append_pair("kind", kind);
        }
        query.append_pair("since", &since.to_string());
        query.append_pair("wait_ms", &wait.as_millis().to_string());
        drop(query);
        Request::new(Method::Get, url)
    }

    pub(crate) fn write(&self, write: &Write) -> Result<Request, PlatformError> {
        let change = &write.change;
        let url = self.url(&change.key);
        let mut request = match &change.value {
            None => Request::new(Method::Delete, url),
            Some(value) => {
                let bytes = encode(value).map_err(|error| PlatformError::Value {
                    key: change.key.to_string(),
                    cause: error.to_string(),
                })?;
                let mut request = Request::new(Method::Put, url);
                request.body_bytes(bytes);
                request
            }
        };
        match change.condition {
            Condition::Absent => request.set_header("if-none-match", "*"),
            Condition::Version(version) => request.set_header("if-match", format!("\"{version}\"")),
        }
        request.set_header(WRITE_ID, write.id.to_string());
        Ok(request)
    }

    pub(crate) async fn send(&self, request: Request, limit: Span) -> Result<Reply, Failure> {
        match timeout(duration(limit), self.receive(request)).await {
            Ok(Ok(reply)) if reply.status >= 500 => {
                Err(Failure::NoAnswer(format!("status {}", reply.status)))
            }
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => match error.downcast_ref::<io::Error>() {
                Some(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
                    Err(Failure::NotSent(cause.to_string()))
                }
                _ => Err(Failure::NoAnswer(error.to_string())),
            },
            Err(_) => Err(Failure::NoAnswer(format!("no answer within {limit}"))),
        }
    }

    async fn receive(&self, request: Request) -> Result<Reply, surf::Error> {
        let mut response = self.client.send(request).await?;
        let version = response.header("etag").and_then(|values| {
            let text = values.as_str().strip_prefix('"')?.strip_suffix('"')?;
            text.parse().ok()
        });
        let write_id = response
            .header(WRITE_ID)
            .map_or("", |values| values.as_str());
        Ok(Reply {
            status: response.status().into(),
            version,
            write_id: write_id.to_owned(),
            bytes: response.body_bytes().await?,
        })
    }

    fn url(&self, key: &ObjectKey) -> Url {
        self.base
            .join(&key.to_string())
            .expect("names need no escaping")
    }
}
