use std::net::SocketAddrV4;

use async_std::channel::Sender;
use async_std::task;
use usher_types::{Peer, ServiceName, Span, Time, Version};

use super::{ConfigState, ControlEvent, fetch_from_peers};

// The store's watch usually delivers a change first; a peer is asked only after this delay.
const PEER_DELAY: Span = Span::from_secs(1);

/// Fetches configuration from peers that hold a newer version than this process.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    behind_since: Option<Time>,
}

impl CatchUp {
    /// Fetches objects from a newer peer after this process was behind for `PEER_DELAY`.
    pub(crate) fn on_revision(
        &mut self,
        now: Time,
        state: &ConfigState,
        (peer, service): (&Peer, Option<&ServiceName>),
        revision: Version,
        events: &Sender<ControlEvent>,
    ) {
        let own = state.complete();
        if revision <= own {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now - since < PEER_DELAY {
            return;
        }
        self.behind_since = None;
        if let Some(admin) = state.admin_of(peer, service) {
            task::spawn(fetch_from_peers(vec![admin], own, events.clone()));
        }
    }

    /// Restarts the delay, because the process adopted a newer version.
    pub(crate) fn reset(&mut self) {
        self.behind_since = None;
    }

    /// Asks the given peers for all objects, at the start of the process.
    pub(crate) fn fetch_at_start(peers: Vec<SocketAddrV4>, events: &Sender<ControlEvent>) {
        task::spawn(fetch_from_peers(peers, Version::default(), events.clone()));
    }
}
