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
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A process listed in the store, and its answer to `status`.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) peer: Peer,
    /// Address for administration calls.
    pub(crate) admin: SocketAddrV4,
    /// Service of a host; `None` for a balancer.
    pub(crate) service: Option<ServiceName>,
    /// `None` if the process did not answer with a valid status.
    pub(crate) status: Option<Status>,
    /// The whole answer; `null` if there is none.
    pub(crate) json: Json,
}

/// The fields that the status of every process has.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Version,
    pub(crate) state: String,
    pub(crate) centre: String,
}

/// Queries the status of all processes in rosters and fleets concurrently.
pub(crate) async fn query_all(store: &Store) -> Result<Vec<Process>, CliError> {
    let mut calls = Vec::new();
    for ListedProcess {
        peer,
        admin,
        service,
    } in list_processes(store).await?
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
    let host_peer = Peer::Host(host.clone());
    let listed = list_processes(store).await?;
    let Some(ListedProcess { admin, .. }) =
        listed.into_iter().find(|entry| entry.peer == host_peer)
    else {
        return Err(CliError::NoHost(host.clone()));
    };
    let answer: Result<bool, ClientError> = call(admin, "drain").await;
    answer.map(|_| ()).map_err(|cause| CliError::NoAnswer {
        peer: host_peer,
        cause: cause.to_string(),
    })
}

/// Removes a balancer that does not answer from its fleet.
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
    // The write is refused if the fleet has changed meanwhile, for example when a balancer joins.
    let condition = Condition::Version(object.position);
    store
        .put(object.key(), condition, Value::Fleet(fleet))
        .await?;
    Ok(())
}

/// Waits until every listed process has a version in force.
///
/// Fails with `NotInForce` when `limit` has passed.
pub(crate) async fn await_rollout(
    store: &Store,
    target: Version,
    limit: Span,
) -> Result<(), CliError> {
    let deadline = Instant::now() + Duration::from_micros(limit.as_micros());
    loop {
        let state = rollout(&query_all(store).await?, target);
        if state == RolloutState::InForce {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CliError::NotInForce {
                target,
                state: Box::new(state),
            });
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether all processes have a version in force, or which do not.
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

/// Highest position of all profiles and services, including tombstones.
pub(crate) async fn newest_version(store: &Store) -> Result<Version, CliError> {
    let mut newest_version = Version::default();
    for kind in [Kind::Profile, Kind::Service] {
        let batch = store.list(Some(kind), Version::default()).await?;
        let versions = batch.objects.iter().map(|object| object.position);
        newest_version = versions.fold(newest_version, Version::max);
    }
    Ok(newest_version)
}

/// Entry of a process in a roster or a fleet.
struct ListedProcess {
    peer: Peer,
    admin: SocketAddrV4,
    service: Option<ServiceName>,
}

async fn list_processes(store: &Store) -> Result<Vec<ListedProcess>, CliError> {
    let mut entries = Vec::new();
    for kind in [Kind::Fleet, Kind::Roster] {
        let batch = store.list(Some(kind), Version::default()).await?;
        entries.extend(batch.objects.iter().flat_map(listed_in));
    }
    Ok(entries)
}

fn listed_in(object: &Object) -> Vec<ListedProcess> {
    match &object.value {
        Some(Value::Fleet(fleet)) => {
            let balancers = fleet.balancers.iter();
            balancers
                .map(|(name, entry)| ListedProcess {
                    peer: Peer::Instance(name.clone()),
                    admin: entry.admin,
                    service: None,
                })
                .collect()
        }
        Some(Value::Roster(roster)) => {
            let members = roster.members.iter();
            members
                .map(|(host, member)| ListedProcess {
                    peer: Peer::Host(host.clone()),
                    admin: member.admin,
                    service: object.name.as_str().parse().ok(),
                })
                .collect()
        }
        _ => Vec::new(),
    }
}

// Calls a JSON-RPC method without parameters.
async fn call<T: serde::de::DeserializeOwned>(
    admin: SocketAddrV4,
    method: &str,
) -> Result<T, ClientError> {
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{admin}"))?;
    client.request(method, rpc_params![]).await
}
