use std::net::SocketAddrV4;
use std::sync::mpsc;
use std::time::Duration;

use async_std::task;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::de::DeserializeOwned;
use usher_types::HostId;

use super::worker_event::WorkerEvent;
use crate::control::HandoverRequest;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_BODY_BYTES: u32 = 64 << 20;

/// Hands flows over to a host and reports which of them it now holds.
pub(crate) fn send_flows(
    host: HostId,
    admin: SocketAddrV4,
    request: HandoverRequest,
    reports: mpsc::Sender<WorkerEvent>,
) {
    task::spawn(async move {
        let flows = call(admin, &request).await.ok();
        if flows.is_none() {
            task::sleep(RETRY_DELAY).await;
        }
        // Fails only while the process is ending.
        let _ = reports.send(WorkerEvent::FlowsTaken { to: host, flows });
    });
}

/// Hands dedupe records over to a host; the ledger repeats unacknowledged ones.
pub(crate) fn send_records(
    host: HostId,
    admin: SocketAddrV4,
    request: HandoverRequest,
    reports: mpsc::Sender<WorkerEvent>,
) {
    task::spawn(async move {
        if let Ok(roster) = call(admin, &request).await {
            let _ = reports.send(WorkerEvent::RecordsTaken { from: host, roster });
        }
    });
}

/// Sends a message too large for a datagram; the sender repeats unanswered ones.
pub(crate) fn send_message(admin: SocketAddrV4, request: HandoverRequest) {
    task::spawn(async move { call::<bool>(admin, &request).await });
}

async fn call<T: DeserializeOwned>(
    admin: SocketAddrV4,
    request: &HandoverRequest,
) -> Result<T, ClientError> {
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MAX_BODY_BYTES)
        .build(format!("http://{admin}"))?;
    client.request("handover", rpc_params![request]).await
}
