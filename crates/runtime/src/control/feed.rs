use std::net::SocketAddrV4;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use usher_store::{Batch, Store};
use usher_types::{Span, Version};

use super::{ControlEvent, ObjectBatch};
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
    loop {
        // The first call does not wait for a change, so that the process starts at once.
        let wait = if since == Version::default() {
            Span::ZERO
        } else {
            WATCH_WAIT
        };
        let batch = store.watch(None, since, wait).await;
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
                since = since.max(batch.through);
                if !deliver(&events, batch).await {
                    return;
                }
                if since == Version::default() {
                    task::sleep(RETRY_DELAY).await;
                }
            }
            Err(_) => task::sleep(RETRY_DELAY).await,
        }
    }
}

fn log_store(up: bool) {
    if up {
        event::STORE_UP.log(&[]);
    } else {
        event::STORE_DOWN.log(&[]);
    }
}

async fn deliver(events: &Sender<ControlEvent>, batch: Batch) -> bool {
    for fault in &batch.unreadable {
        event::CONFIG_INVALID.log(&[("fault", fault)]);
    }
    let Batch {
        after,
        through,
        objects,
        ..
    } = batch;
    events
        .send(ControlEvent::Objects {
            after,
            through,
            objects,
        })
        .await
        .is_ok()
}

/// Fetches the objects newer than a version from each peer that answers.
pub(crate) async fn fetch_from_peers(
    peers: Vec<SocketAddrV4>,
    after: Version,
    events: Sender<ControlEvent>,
) {
    for peer in peers {
        let Ok(ObjectBatch { through, objects }) = since(peer, after).await else {
            continue;
        };
        event::CONFIG_PEER.log(&[("peer", &peer), ("objects", &objects.len())]);
        let fetched = ControlEvent::Objects {
            after,
            through,
            objects,
        };
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
