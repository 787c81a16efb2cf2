use std::net::SocketAddrV4;

use async_std::channel::Sender;
use async_std::task;
use usher_types::{Peer, ServiceName, Span, Time, Version};

use super::{ControlEvent, State, fetch_from_peers};

// The store's watch usually brings a change first; a peer is asked only if it does not.
const STORE_LEAD: Span = Span::from_secs(1);

/// Fetches configuration from peers that hold a newer one than the store gave.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    behind_since: Option<Time>,
}

impl CatchUp {
    /// Notes the version that a peer reports, and asks the peer when this process stays behind.
    pub(crate) fn note(
        &mut self,
        now: Time,
        state: &State,
        (peer, service): (&Peer, Option<&ServiceName>),
        revision: Version,
        events: &Sender<ControlEvent>,
    ) {
        let own = state.complete();
        if revision <= own {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now - since < STORE_LEAD {
            return;
        }
        self.behind_since = None;
        if let Some(admin) = state.admin_of(peer, service) {
            task::spawn(fetch_from_peers(vec![admin], own, events.clone()));
        }
    }

    /// Notes that the process has taken over a newer version.
    pub(crate) fn advanced(&mut self) {
        self.behind_since = None;
    }

    /// Asks the given addresses at the start of a process.
    pub(crate) fn at_start(peers: Vec<SocketAddrV4>, events: &Sender<ControlEvent>) {
        task::spawn(fetch_from_peers(peers, Version::default(), events.clone()));
    }
}
