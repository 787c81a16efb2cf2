use std::net::{SocketAddr, SocketAddrV4};

use async_std::channel::{self, Receiver, Sender};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::{BatchRequestConfig, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use usher_config::Object;
use usher_types::{Generation, Message, ServiceName, Version};

use super::ControlEvent;
use crate::RuntimeError;

const MAX_BODY_BYTES: u32 = 64 << 20;
const CONTROL_ENDED: i32 = -32_030;
const WRONG_SERVICE: i32 = -32_031;

/// A call of the administration RPC that the control thread answers.
#[derive(Debug)]
pub(crate) enum Call {
    /// State of the process as a JSON object.
    Status(Sender<Value>),
    /// Objects newer than a version.
    Since(Version, Sender<ObjectBatch>),
    /// Begins a drain; the process keeps running.
    Drain(Sender<bool>),
    /// Takes over state from another agent.
    TakeOver(HandoverRequest, Sender<Option<Value>>),
}

/// Objects that a process holds and that are newer than a version.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ObjectBatch {
    /// Version up to which the process has every object.
    pub(crate) through: Version,
    /// The objects, including tombstones.
    pub(crate) objects: Vec<Object>,
}

/// What one agent hands to another over the administration RPC.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HandoverRequest {
    /// Service of the sender.
    pub(crate) service: ServiceName,
    /// Generation of the service's address that the sender knows.
    pub(crate) generation: Generation,
    /// Flows, dedupe records or a large message.
    pub(crate) content: HandoverContent,
}

/// State or message that a handover carries.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum HandoverContent {
    /// Flows and directory entries; the reply lists the flows taken over.
    Flows(usher_flows::Transfer),
    /// Dedupe records; the reply is the roster version of the transfer.
    Records(usher_dedupe::Transfer),
    /// A message that is too large for a datagram; the reply is `true`.
    Message {
        from: SocketAddrV4,
        message: Message,
    },
}

type Events = Sender<ControlEvent>;

/// Serves the administration RPC until the handle is dropped.
pub(crate) async fn serve(
    address: SocketAddrV4,
    events: Events,
) -> Result<ServerHandle, RuntimeError> {
    let listen = |source| RuntimeError::Listen { address, source };
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_BODY_BYTES)
        .max_response_body_size(MAX_BODY_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let builder = Server::builder().set_config(config);
    let server = builder
        .build(SocketAddr::V4(address))
        .await
        .map_err(listen)?;
    let module = module(events).map_err(|error| listen(std::io::Error::other(error)))?;
    Ok(server.start(module))
}

fn module(events: Events) -> Result<RpcModule<Events>, RegisterMethodError> {
    let mut module = RpcModule::new(events);
    module.register_async_method("status", |_, events, _| async move {
        ask(&events, Call::Status).await
    })?;
    module.register_async_method("config.since", |params, events, _| async move {
        let version: Version = params.one()?;
        let batch = ask(&events, |reply| Call::Since(version, reply)).await?;
        Ok::<Value, ErrorObjectOwned>(json!(batch))
    })?;
    module.register_async_method("drain", |_, events, _| async move {
        ask(&events, Call::Drain).await
    })?;
    module.register_async_method("handover", |params, events, _| async move {
        let request: HandoverRequest = params.one()?;
        let taken = ask(&events, |reply| Call::TakeOver(request, reply)).await?;
        taken.ok_or_else(|| error(WRONG_SERVICE, "MU-6005: handover refused"))
    })?;
    Ok(module)
}

async fn ask<T>(
    events: &Events,
    call: impl FnOnce(Sender<T>) -> Call,
) -> Result<T, ErrorObjectOwned> {
    let (reply, answer): (Sender<T>, Receiver<T>) = channel::bounded(1);
    let control_ended = || error(CONTROL_ENDED, "MU-6004: the control thread ended");
    events
        .send(ControlEvent::Call(call(reply)))
        .await
        .map_err(|_closed| control_ended())?;
    answer.recv().await.map_err(|_closed| control_ended())
}

fn error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}
