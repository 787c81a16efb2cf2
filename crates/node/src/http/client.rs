use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use usher_platform::Request;
use usher_types::Span;

use crate::metrics::Metrics;
use crate::socket::watch_connection;

// The largest value of the store, with room for the list around it.
const ANSWER_BYTES: usize = 4 << 20;
// Opening a connection takes one round trip; SYN retransmission begins after a second.
const BAD_REQUEST: u16 = 400;
const CONNECT: Duration = Duration::from_millis(1_500);

/// Calls one server over a connection that is kept.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddrV4,
    connection: Option<SendRequest<Full<Bytes>>>,
    metrics: Arc<Metrics>,
}

/// An answer.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Bytes,
}

/// Why a call got no answer. A write may have been carried out all the same.
#[derive(Debug)]
pub(crate) enum CallError {
    Connect(std::io::Error),
    TimedOut,
    Broken(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(fault) => write!(f, "not connected: {fault}"),
            Self::TimedOut => f.write_str("timed out"),
            Self::Broken(fault) => write!(f, "connection broken: {fault}"),
        }
    }
}

impl Client {
    pub(crate) fn new(address: SocketAddrV4, metrics: Arc<Metrics>) -> Self {
        Self {
            address,
            connection: None,
            metrics,
        }
    }

    /// Makes one call; a connection that failed is not used again.
    pub(crate) async fn call(
        &mut self,
        what: &'static str,
        request: &Request,
        limit: Span,
    ) -> Result<Reply, CallError> {
        let reply = self.attempt(request, limit).await;
        let outcome = match &reply {
            Ok(reply) if reply.status < BAD_REQUEST => "served",
            Ok(_) => "refused",
            Err(CallError::TimedOut) => "timed-out",
            Err(CallError::Connect(_)) => "not-connected",
            Err(CallError::Broken(_)) => "broken",
        };
        self.metrics.store_call(what, outcome);
        reply
    }

    async fn attempt(&mut self, request: &Request, limit: Span) -> Result<Reply, CallError> {
        let mut connection = match self.connection.take().filter(|open| !open.is_closed()) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let limit = Duration::from_micros(limit.as_micros());
        let reply = match timeout(limit, self.exchange(&mut connection, request)).await {
            Ok(reply) => reply?,
            Err(_elapsed) => return Err(CallError::TimedOut),
        };
        self.connection = Some(connection);
        Ok(reply)
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let stream = match timeout(CONNECT, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(_elapsed) => return Err(CallError::TimedOut),
        };
        watch_connection(&stream).map_err(CallError::Connect)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|fault| broken(&fault))?;
        // The call that uses the connection reports its failure.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }

    async fn exchange(
        &self,
        connection: &mut SendRequest<Full<Bytes>>,
        request: &Request,
    ) -> Result<Reply, CallError> {
        let message = hyper::Request::builder()
            .method(request.method)
            .uri(&request.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(request.body.clone())))
            .map_err(|fault| CallError::Broken(fault.to_string()))?;
        connection.ready().await.map_err(|fault| broken(&fault))?;
        let answer = connection
            .send_request(message)
            .await
            .map_err(|fault| broken(&fault))?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|fault| CallError::Broken(fault.to_string()))?;
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }
}

fn broken(fault: &hyper::Error) -> CallError {
    CallError::Broken(fault.to_string())
}
