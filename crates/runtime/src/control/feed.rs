use std::net::SocketAddrV4;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use usher_store::{Batch, Store};
use usher_types::{Span, Version};

use super::{ControlEvent, ObjectBatch, Update};
use crate::event;

// The platform counts a waiting watch as one call. A watch that a hung store never answers is
// abandoned early enough that a change is in force within 4 s after the store recovers.
const WATCH_WAIT: Span = Span::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows the store's changes until the control thread ends.
pub(crate) async fn follow(store: Store, events: Sender<ControlEvent>) {
    let mut since = Version::default();
    let mut up = None;
    let mut late = 0;
    loop {
        // The first call does not wait for a change, so that the process starts at once.
        let wait = if since.get() == 0 {
            Span::ZERO
        } else {
            WATCH_WAIT
        };
        let batch = store.watch(None, since, wait).await;
        log_late(&store, &mut late);
        if up != Some(batch.is_ok()) {
            up = Some(batch.is_ok());
            log_store(batch.is_ok());
            if events
                .send(ControlEvent::Store(batch.is_ok()))
                .await
                .is_err()
            {
                return;
            }
        }
        match batch {
            Ok(batch) => {
                let restored = is_restored(since, batch.through);
                // A stale replica lags behind `since`; a later era is above it in any case.
                since = since.max(batch.through);
                if !deliver(&events, batch, restored).await {
                    return;
                }
                if since.get() == 0 {
                    task::sleep(RETRY_DELAY).await;
                }
            }
            Err(_) => task::sleep(RETRY_DELAY).await,
        }
    }
}

// Logs the first batch of a later era.
fn is_restored(since: Version, through: Version) -> bool {
    let restored = since != Version::default() && since.era() < through.era();
    if restored {
        let (era, revision) = (through.era(), through.get());
        event::STORE_RESTORED.log(&[("since", &since), ("era", &era), ("revision", &revision)]);
    }
    restored
}

fn log_late(store: &Store, logged: &mut u64) {
    let late = store.late_answers();
    if late > *logged {
        *logged = late;
        event::STORE_LATE.log(&[("era", &store.era()), ("total", &late)]);
    }
}

fn log_store(up: bool) {
    if up {
        event::STORE_UP.log(&[]);
    } else {
        event::STORE_DOWN.log(&[]);
    }
}

async fn deliver(events: &Sender<ControlEvent>, batch: Batch, restored: bool) -> bool {
    if events
        .send(ControlEvent::Objects(batch.into()))
        .await
        .is_err()
    {
        return false;
    }
    !restored || events.send(ControlEvent::Restored).await.is_ok()
}

/// Fetches the objects above a position from each peer that answers.
pub(crate) async fn fetch_from_peers(
    peers: Vec<SocketAddrV4>,
    after: Version,
    events: Sender<ControlEvent>,
) {
    for peer in peers {
        let Ok(batch) = since(peer, after).await else {
            continue;
        };
        event::CONFIG_PEER.log(&[("peer", &peer), ("objects", &batch.objects.len())]);
        let fetched = ControlEvent::Objects(Update::from_peer(after, batch));
        if events.send(fetched).await.is_err() {
            return;
        }
    }
}

async fn since(
    peer: SocketAddrV4,
    after: Version,
) -> Result<ObjectBatch, jsonrpsee::core::ClientError> {
    let client = HttpClientBuilder::default()
        .request_timeout(PEER_TIMEOUT)
        .build(format!("http://{peer}"))?;
    client.request("config.since", rpc_params![after]).await
}
