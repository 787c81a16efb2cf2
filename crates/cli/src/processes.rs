use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use async_std::task;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::Deserialize;
use serde_json::Value as Json;
use usher_config::{Condition, Kind, Object, Report, Rollout, RolloutState, Value};
use usher_store::Store;
use usher_types::{HostId, Incarnation, InstanceId, Peer, ServiceName, Span, Version};

use crate::error::CliError;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(100);

/// A process that the store lists, with what it says of itself.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) peer: Peer,
    pub(crate) admin: SocketAddrV4,
    /// Service of a host.
    pub(crate) service: Option<ServiceName>,
    /// `None` if the process did not answer.
    pub(crate) status: Option<Status>,
    pub(crate) json: Json,
}

/// The part of a status that every process reports.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Version,
    pub(crate) state: String,
    pub(crate) centre: String,
}

/// Lists the processes in rosters and fleets and asks all of them at the same time.
pub(crate) async fn ask_all(store: &Store) -> Result<Vec<Process>, CliError> {
    let mut calls = Vec::new();
    for Listed {
        peer,
        admin,
        service,
    } in listed(store).await?
    {
        calls.push(task::spawn(async move {
            let answer: Result<Json, ClientError> = call(admin, "status").await;
            let json = answer.unwrap_or_default();
            let status = serde_json::from_value(json.clone()).ok();
            Process {
                peer,
                admin,
                service,
                status,
                json,
            }
        }));
    }
    let mut processes = Vec::new();
    for process in calls {
        processes.push(process.await);
    }
    Ok(processes)
}

/// Asks a host's agent to drain.
pub(crate) async fn drain(store: &Store, host: &HostId) -> Result<(), CliError> {
    let own = Peer::Host(host.clone());
    let listed = listed(store).await?;
    let Some(Listed { admin, .. }) = listed.into_iter().find(|entry| entry.peer == own) else {
        return Err(CliError::NoHost(host.clone()));
    };
    let answer: Result<bool, ClientError> = call(admin, "drain").await;
    answer.map(|_| ()).map_err(|cause| CliError::NoAnswer {
        peer: own,
        cause: cause.to_string(),
    })
}

/// Takes a balancer that does not answer out of its fleet.
pub(crate) async fn forget(store: &Store, instance: &InstanceId) -> Result<(), CliError> {
    let fleets = store
        .list(Some(Kind::Fleet), Version::default())
        .await?
        .objects;
    let listing = fleets
        .into_iter()
        .find_map(|object| match object.value.clone() {
            Some(Value::Fleet(fleet)) if fleet.balancers.contains_key(instance) => {
                Some((object, fleet))
            }
            _ => None,
        });
    let Some((object, mut fleet)) = listing else {
        return Err(CliError::NoBalancer(instance.clone()));
    };
    if let Some(entry) = fleet.balancers.shift_remove(instance) {
        let answer: Result<Json, ClientError> = call(entry.admin, "status").await;
        if answer.is_ok() {
            return Err(CliError::StillAlive(instance.clone()));
        }
    }
    // A balancer that joins meanwhile changes the version, and the write is refused.
    let condition = Condition::Version(object.version);
    store
        .put(object.key(), condition, Value::Fleet(fleet))
        .await?;
    Ok(())
}

/// Waits until every listed process has a version in force.
pub(crate) async fn await_rollout(
    store: &Store,
    target: Version,
    limit: Span,
) -> Result<(), CliError> {
    let end = Instant::now() + Duration::from_micros(limit.as_micros());
    loop {
        let state = rollout(&ask_all(store).await?, target);
        if state == RolloutState::InForce {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(CliError::NotInForce {
                target,
                state: Box::new(state),
            });
        }
        task::sleep(POLL).await;
    }
}

/// How far a version has spread over the given processes.
pub(crate) fn rollout(processes: &[Process], target: Version) -> RolloutState {
    let mut rollout = Rollout::new(target);
    for process in processes {
        rollout.expect(process.peer.clone());
        if let Some(status) = &process.status {
            rollout.report(Report {
                peer: process.peer.clone(),
                incarnation: status.incarnation,
                revision: status.revision,
            });
        }
    }
    rollout.state()
}

/// Highest version of an operator's object, tombstones included.
pub(crate) async fn newest(store: &Store) -> Result<Version, CliError> {
    let mut newest = Version::default();
    for kind in [Kind::Profile, Kind::Service] {
        let batch = store.list(Some(kind), Version::default()).await?;
        let versions = batch.objects.iter().map(|object| object.version);
        newest = versions.fold(newest, Version::max);
    }
    Ok(newest)
}

/// An entry of a roster or a fleet.
struct Listed {
    peer: Peer,
    admin: SocketAddrV4,
    service: Option<ServiceName>,
}

async fn listed(store: &Store) -> Result<Vec<Listed>, CliError> {
    let mut peers = Vec::new();
    for kind in [Kind::Fleet, Kind::Roster] {
        let batch = store.list(Some(kind), Version::default()).await?;
        peers.extend(batch.objects.iter().flat_map(peers_of));
    }
    Ok(peers)
}

fn peers_of(object: &Object) -> Vec<Listed> {
    match &object.value {
        Some(Value::Fleet(fleet)) => {
            let balancers = fleet.balancers.iter();
            balancers
                .map(|(name, entry)| Listed {
                    peer: Peer::Instance(name.clone()),
                    admin: entry.admin,
                    service: None,
                })
                .collect()
        }
        Some(Value::Roster(roster)) => {
            let members = roster.members.iter();
            members
                .map(|(host, member)| Listed {
                    peer: Peer::Host(host.clone()),
                    admin: member.admin,
                    service: object.name.as_str().parse().ok(),
                })
                .collect()
        }
        _ => Vec::new(),
    }
}

async fn call<T: serde::de::DeserializeOwned>(
    admin: SocketAddrV4,
    method: &str,
) -> Result<T, ClientError> {
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{admin}"))?;
    client.request(method, rpc_params![]).await
}
