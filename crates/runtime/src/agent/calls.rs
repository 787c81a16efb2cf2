use std::net::SocketAddrV4;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::de::DeserializeOwned;

use crate::control::Parcels;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: u32 = 64 << 20;

/// Hands state over to another agent and returns what it has taken over.
///
/// # Errors
/// Fails when there is no answer; the receiver may have taken the state over all the same.
pub(crate) async fn hand_over<T: DeserializeOwned>(
    to: SocketAddrV4,
    parcels: &Parcels,
) -> Result<T, ClientError> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .max_request_size(MAX_BODY_BYTES)
        .build(format!("http://{to}"))?;
    client.request("handover", rpc_params![parcels]).await
}
