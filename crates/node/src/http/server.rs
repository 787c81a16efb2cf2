use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use usher_platform::configure_connection;

use crate::socket::RETRY_PAUSE;
use crate::{NodeError, event};

// Longest body of a request; heartbeats are a few hundred bytes.
const BODY_BYTES: usize = 16_384;

/// Status and body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    status: u16,
    body: String,
    content_type: &'static str,
}

impl Answer {
    /// An answer in JSON.
    pub(crate) fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
            content_type: "application/json",
        }
    }

    /// An answer with a status and an empty JSON object.
    pub(crate) fn empty(status: u16) -> Self {
        Self::json(status, "{}")
    }

    /// An answer with metrics.
    pub(crate) fn metrics(body: String) -> Self {
        Self {
            status: StatusCode::OK.as_u16(),
            body,
            content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
        }
    }
}

/// Answers calls on an address; `answer` gets method, path and body.
pub(crate) async fn serve(
    address: SocketAddrV4,
    what: &'static str,
    answer: impl Fn(&str, &str, &[u8]) -> Answer + 'static,
) -> Result<(), NodeError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|cause| NodeError::Open {
            what,
            address: address.to_string(),
            cause,
        })?;
    let answer = Rc::new(answer);
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(handle_connection(stream, Rc::clone(&answer)));
                }
                Err(fault) => {
                    event::RECEIVE_FAILED.log(&[("listener", &what), ("fault", &fault)]);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn handle_connection(
    stream: TcpStream,
    answer: Rc<impl Fn(&str, &str, &[u8]) -> Answer + 'static>,
) {
    if let Err(fault) = configure_connection(&stream) {
        event::MALFORMED.log(&[("connection", &fault)]);
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Rc::clone(&answer);
        async move { Ok::<_, Infallible>(respond(request, answer.as_ref()).await) }
    });
    let served = Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(fault) = served {
        event::MALFORMED.log(&[("connection", &fault)]);
    }
}

async fn respond(
    request: Request<Incoming>,
    answer: &impl Fn(&str, &str, &[u8]) -> Answer,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let answer = match Limited::new(body, BODY_BYTES).collect().await {
        Ok(body) => answer(head.method.as_str(), head.uri.path(), &body.to_bytes()),
        Err(fault) => {
            event::MALFORMED.log(&[("body", &fault)]);
            Answer::empty(StatusCode::BAD_REQUEST.as_u16())
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_static(answer.content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
