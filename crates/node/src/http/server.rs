use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::socket::watch_connection;
use crate::{NodeError, event};

// Heartbeats are a few hundred bytes.
const BODY_BYTES: usize = 16_384;
// A listener that fails, for lack of descriptors say, is tried again at this pace.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Status and JSON body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: String,
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
                    spawn_local(converse(stream, Rc::clone(&answer)));
                }
                Err(fault) => {
                    event::RECEIVE_FAILED.log(&[("listener", &what), ("fault", &fault)]);
                    tokio::time::sleep(FAILED_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn converse(stream: TcpStream, answer: Rc<impl Fn(&str, &str, &[u8]) -> Answer + 'static>) {
    if let Err(fault) = watch_connection(&stream) {
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
            Answer {
                status: StatusCode::BAD_REQUEST.as_u16(),
                body: "{}".to_owned(),
            }
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
