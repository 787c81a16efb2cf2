//! Client of the backend server: JSON-RPC over a loopback WebSocket.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::prelude::FutureExt;
use async_std::{future, task};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Deserialize;
use serde_json::value::RawValue;
use usher_types::{Outcome, Payload, Span};
use usher_wire::{RUN_NOT_STARTED, RunRequest};

use crate::event;
use usher_clock::now;

const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
// A run may finish after its caller's deadline; its outcome is awaited this much longer,
// because it is still useful.
const OUTCOME_GRACE: Span = Span::from_secs(30);
// Short enough that a leaving backend server stops receiving new work within a few seconds.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: u32 = 64 << 20;

// The endpoint's load figures lag or mislead, so only the `leaving` flag is read.
#[derive(Debug, Deserialize)]
struct Health {
    #[serde(default)]
    leaving: bool,
}

/// A command from the agent to its backend server.
#[derive(Debug)]
pub(crate) enum Command {
    /// Runs a request.
    Run(RunRequest),
    /// Cancels the run with this number.
    Cancel(u64),
}

/// The result of a run, or a change of the backend server's state.
#[derive(Debug)]
pub(crate) enum Report {
    /// The backend server answered.
    Finished { run: u64, outcome: Outcome },
    /// The run did not start and will not.
    NotStarted { run: u64 },
    /// The run may have started; its outcome is unknown.
    Lost { run: u64 },
    /// The connection was established (true) or lost (false).
    Connected(bool),
    /// The backend server announced that it is leaving.
    Leaving,
}

/// Sends commands to the backend server until their channel closes, reconnecting as needed.
pub(crate) async fn serve<F>(address: SocketAddrV4, commands: Receiver<Command>, report: F)
where
    F: Fn(Report) + Clone + Send + 'static,
{
    loop {
        let Some(client) = connect(address, &commands, &report).await else {
            return;
        };
        event::BACKEND_UP.log(&[("backend", &address)]);
        report(Report::Connected(true));
        let open = {
            let health = watch_health(Arc::clone(&client), report.clone());
            let commands = forward(&client, &commands, &report);
            commands.race(health).await
        };
        event::BACKEND_DOWN.log(&[("backend", &address)]);
        report(Report::Connected(false));
        if !open {
            return;
        }
    }
}

// Connects, and refuses runs at once until it succeeds; `None` when the channel is closed.
async fn connect<F>(
    address: SocketAddrV4,
    commands: &Receiver<Command>,
    report: &F,
) -> Option<Arc<WsClient>>
where
    F: Fn(Report),
{
    loop {
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .max_response_size(MAX_RESPONSE_BYTES)
            .request_timeout(Duration::from_hours(24));
        if let Ok(client) = builder.build(format!("ws://{address}")).await {
            return Some(Arc::new(client));
        }
        if !refuse_for(RECONNECT_DELAY, commands, report).await {
            return None;
        }
    }
}

// Reports runs as not started until `pause` has passed; false when the channel is closed.
async fn refuse_for<F: Fn(Report)>(
    pause: Duration,
    commands: &Receiver<Command>,
    report: &F,
) -> bool {
    let until = now() + Span::from_micros(pause.as_micros() as u64);
    loop {
        let left = Duration::from_micros((until - now()).as_micros());
        match future::timeout(left, commands.recv()).await {
            Ok(Ok(Command::Run(request))) => report(Report::NotStarted { run: request.run }),
            Ok(Ok(Command::Cancel(_))) => {}
            Ok(Err(_)) => return false,
            Err(_) => return true,
        }
    }
}

// Reports once each time the backend server begins to leave; never returns.
async fn watch_health<F: Fn(Report)>(client: Arc<WsClient>, report: F) -> bool {
    let mut leaving = false;
    loop {
        task::sleep(HEALTH_INTERVAL).await;
        let health = client.request::<Health, _>("health", rpc_params![]).await;
        let is_leaving = health.is_ok_and(|health| health.leaving);
        if is_leaving && !leaving {
            report(Report::Leaving);
        }
        leaving = is_leaving;
    }
}

// Runs commands until the connection breaks (true) or the channel closes (false).
async fn forward<F>(client: &Arc<WsClient>, commands: &Receiver<Command>, report: &F) -> bool
where
    F: Fn(Report) + Clone + Send + 'static,
{
    loop {
        let broken = async {
            client.on_disconnect().await;
            None
        };
        let received = async { Some(commands.recv().await) };
        let command = match broken.race(received).await {
            Some(Ok(command)) => command,
            Some(Err(_)) => return false,
            None => return true,
        };
        let client = Arc::clone(client);
        match command {
            Command::Run(request) => {
                let report = report.clone();
                task::spawn(async move {
                    let outcome = run(&client, request).await;
                    report(outcome);
                });
            }
            Command::Cancel(number) => {
                task::spawn(async move { cancel(&client, number).await });
            }
        }
    }
}

async fn run(client: &WsClient, request: RunRequest) -> Report {
    let run = request.run;
    let limit = request.deadline - now() + OUTCOME_GRACE;
    let limit = Duration::from_micros(limit.as_micros());
    let call = client.request::<Box<RawValue>, _>("run", RunParams(&request));
    match future::timeout(limit, call).await {
        Ok(Ok(result)) => {
            let payload = Payload::from(result.get().as_bytes());
            Report::Finished {
                run,
                outcome: Outcome::Answered(payload),
            }
        }
        Ok(Err(ClientError::Call(error))) if error.code() == RUN_NOT_STARTED => {
            Report::NotStarted { run }
        }
        Ok(Err(ClientError::Call(error))) => {
            let text = serde_json::to_vec(&error).unwrap_or_default();
            Report::Finished {
                run,
                outcome: Outcome::Failed(Payload::from(text)),
            }
        }
        Ok(Err(_)) => Report::Lost { run },
        Err(_) => {
            cancel(client, run).await;
            Report::Lost { run }
        }
    }
}

struct RunParams<'a>(&'a RunRequest);

impl ToRpcParams for RunParams<'_> {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(self.0).map(Some)
    }
}

async fn cancel(client: &WsClient, run: u64) {
    // If this call is lost, the run ends by itself.
    let _ = client.request::<bool, _>("cancel", rpc_params![run]).await;
}
