use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use serde::Deserialize;
use serde_json::json;
use tide::http::headers::HeaderName;
use tide::{Body, Request, Response, StatusCode};
use usher_types::Version;

use super::fault_gate::FaultGate;
use super::faults::Faults;
use super::record::{Precondition, Record};
use super::shared::Shared;

// The platform's limit on values.
const MAX_VALUE_BYTES: usize = 1 << 20;
const WRITE_ID: &str = "x-write-id";

/// Runs the store on an address until the task is dropped.
///
/// # Errors
/// When the address cannot be bound.
///
/// ```no_run
/// # async_std::task::block_on(async {
/// usher_standins::store::run("127.0.0.1:7000".parse().unwrap()).await
/// # }).unwrap();
/// ```
pub async fn run(listen: SocketAddrV4) -> io::Result<()> {
    serve(TcpListener::bind(listen)?).await
}

/// Runs the store on a bound listener until the task is dropped.
///
/// # Errors
/// When the listener fails.
///
/// ```no_run
/// # async_std::task::block_on(async {
/// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// usher_standins::store::serve(listener).await
/// # }).unwrap();
/// ```
pub async fn serve(listener: TcpListener) -> io::Result<()> {
    let mut app = tide::with_state(Shared::default());
    app.at("/v1/objects").with(FaultGate).get(list);
    app.at("/v1/objects/:kind/:name")
        .with(FaultGate)
        .get(get)
        .put(put)
        .delete(delete);
    app.at("/v1/stats").get(stats);
    app.at("/faults").get(faults).put(set_faults);
    app.listen(listener).await
}

async fn get(request: Request<Shared>) -> tide::Result {
    let (kind, name) = (request.param("kind")?, request.param("name")?);
    let Some(record) = request.state().read(kind, name) else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let status = if record.is_tombstone() {
        StatusCode::NotFound
    } else {
        StatusCode::Ok
    };
    object(status, &record)
}

async fn put(mut request: Request<Shared>) -> tide::Result {
    // An answer before the end of the body leaves the rest in the connection's next request.
    let bytes = request.body_bytes().await?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    match serde_json::from_slice(&bytes) {
        Ok(serde_json::Value::Null) | Err(_) => Ok(Response::new(StatusCode::BadRequest)),
        Ok(value) => write(&request, value),
    }
}

async fn delete(request: Request<Shared>) -> tide::Result {
    write(&request, serde_json::Value::Null)
}

fn write(request: &Request<Shared>, value: serde_json::Value) -> tide::Result {
    let Some(condition) = precondition(request) else {
        return Ok(Response::new(StatusCode::PreconditionRequired));
    };
    let write_id = request
        .header(WRITE_ID)
        .map_or("", |values| values.as_str());
    let (kind, name) = (request.param("kind")?, request.param("name")?);
    match request
        .state()
        .write(kind, name, write_id, condition, value)
    {
        Ok(record) => {
            let response = Response::builder(StatusCode::Ok);
            Ok(response.header("etag", etag(&record)).build())
        }
        Err(refusal) => match refusal.current {
            Some(record) => object(StatusCode::PreconditionFailed, &record),
            None => Ok(Response::new(StatusCode::PreconditionFailed)),
        },
    }
}

fn precondition(request: &Request<Shared>) -> Option<Precondition> {
    if let Some(values) = request.header("if-none-match") {
        return (values.as_str() == "*").then_some(Precondition::Absent);
    }
    let values = request.header("if-match")?;
    let version = values.as_str().strip_prefix('"')?.strip_suffix('"')?;
    Some(Precondition::Version(version.parse().ok()?))
}

fn etag(record: &Record) -> String {
    format!("\"{}\"", record.version)
}

fn object(status: StatusCode, record: &Record) -> tide::Result {
    let mut response = Response::builder(status)
        .header("etag", etag(record))
        .header(HeaderName::from(WRITE_ID), record.write_id.as_str());
    if !record.is_tombstone() {
        response = response.body(Body::from_json(&record.value)?);
    }
    Ok(response.build())
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Query {
    kind: Option<String>,
    since: Version,
    wait_ms: u64,
}

async fn list(request: Request<Shared>) -> tide::Result {
    let query: Query = request.query()?;
    let shared = request.state();
    shared.count_read();
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let found = loop {
        let mut found = shared.since(query.since, query.kind.as_deref());
        let left = until.saturating_duration_since(Instant::now());
        let Some(waiting) = found.waiting.take().filter(|_| !left.is_zero()) else {
            break found;
        };
        if timeout(left, waiting.changed()).await.is_err() {
            break found;
        }
    };
    let body = json!({ "revision": found.revision, "objects": found.records });
    Ok(Response::builder(StatusCode::Ok).body(body).build())
}

async fn stats(request: Request<Shared>) -> tide::Result {
    let body = Body::from_json(&request.state().stats())?;
    Ok(body.into())
}

async fn faults(request: Request<Shared>) -> tide::Result {
    let body = Body::from_json(&request.state().faults())?;
    Ok(body.into())
}

async fn set_faults(mut request: Request<Shared>) -> tide::Result {
    let faults: Faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(StatusCode::NoContent))
}
