use std::collections::BTreeSet;
use std::net::UdpSocket;

use async_std::channel::Sender;
use async_std::task;
use jsonrpsee::server::ServerHandle;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_config::{ObjectKey, RestoreWait};
use usher_members::{Action, Event, Identity, Membership};
use usher_store::{Limits, Store};
use usher_types::{Message, Peer, ServiceName, Span, Time, Version};

use super::{CatchUp, ConfigState, ControlEvent, Restorer, Update, follow, serve};
use crate::{CommonSettings, RuntimeError, socket};
use usher_clock::now;

/// Configuration and membership, which the control threads of both roles share.
pub(crate) struct Core {
    /// Client of the platform's store.
    pub(crate) store: Store,
    /// Configuration and rosters that this process knows.
    pub(crate) state: ConfigState,
    /// Input of the control thread.
    pub(crate) events: Sender<ControlEvent>,
    common: CommonSettings,
    socket: UdpSocket,
    membership: Membership,
    catch_up: CatchUp,
    restorer: Restorer,
    restore_wait: RestoreWait,
}

impl Core {
    pub(crate) fn new(
        identity: Identity,
        common: CommonSettings,
        socket: UdpSocket,
        events: Sender<ControlEvent>,
    ) -> Self {
        Self {
            store: Store::new(common.store, Limits::default()),
            state: ConfigState::default(),
            events,
            common,
            socket,
            membership: Membership::new(identity, Box::new(Pcg64::from_os_rng())),
            catch_up: CatchUp::default(),
            restorer: Restorer::new(),
            restore_wait: RestoreWait::default(),
        }
    }

    /// Serves the administration RPC, follows the store and asks the peers from the settings.
    pub(crate) async fn start(&self) -> Result<ServerHandle, RuntimeError> {
        let server = serve(self.common.admin, self.events.clone()).await?;
        task::spawn(follow(self.store.clone(), self.events.clone()));
        CatchUp::fetch_at_start(self.common.peers.clone(), &self.events);
        Ok(server)
    }

    /// Adopts objects and returns the keys of those that were newer.
    ///
    /// Objects that the store has lost are written again.
    pub(crate) fn adopt(&mut self, update: Update) -> BTreeSet<ObjectKey> {
        let before = self.state.complete();
        let changed = self.state.adopt(update);
        self.restorer.start(&self.state, &self.events);
        self.restore_wait
            .observe(now(), self.state.complete().era());
        if !changed.is_empty() || self.state.complete() > before {
            self.catch_up.reset();
        }
        changed
    }

    /// How long to wait before an object is edited that this process knows in version `base`.
    pub(crate) fn edit_delay(&mut self, base: Version) -> Span {
        self.restore_wait.observe(now(), self.store.era());
        self.restore_wait.before_edit(now(), base)
    }

    /// Writes the next object that the store has lost.
    pub(crate) fn write_again(&mut self) {
        self.restorer
            .write_next(&self.state, &self.store, &self.events);
    }

    /// Asks a peer for configuration if it stays ahead of this process.
    pub(crate) fn compare_revision(
        &mut self,
        peer: &Peer,
        service: Option<&ServiceName>,
        revision: Version,
    ) {
        let peer = (peer, service);
        self.catch_up
            .on_revision(now(), &self.state, peer, revision, &self.events);
    }

    /// Passes an event to membership, sends its heartbeats and returns the other actions.
    pub(crate) fn advance(&mut self, event: Event) -> Vec<Action> {
        let mut remaining = Vec::new();
        for action in self.membership.handle(now(), event) {
            match action {
                Action::Beat { to, beat } => {
                    let message = Message::Beat(beat);
                    for to in to {
                        socket::send(&self.socket, to, &message);
                    }
                }
                Action::Ack { to, ack } => {
                    socket::send(&self.socket, to, &Message::BeatAck(ack));
                }
                other => remaining.push(other),
            }
        }
        remaining
    }

    /// When membership next needs a tick.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.membership.next_timer()
    }
}
