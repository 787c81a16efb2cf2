use std::collections::BTreeSet;
use std::net::UdpSocket;

use async_std::channel::Sender;
use async_std::task;
use jsonrpsee::server::ServerHandle;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_config::{Object, ObjectKey};
use usher_members::{Action, Event, Identity, Membership};
use usher_store::{Limits, Store};
use usher_types::{Message, Peer, ServiceName, Time, Version};

use super::{CatchUp, ControlEvent, State, follow, serve};
use crate::{Common, RuntimeError, socket};
use usher_clock::now;

/// What the control threads of both roles do alike: configuration and membership.
pub(crate) struct Core {
    /// The project's objects in the platform's store.
    pub(crate) store: Store,
    /// Configuration and rosters that this process knows.
    pub(crate) state: State,
    /// Input of the control thread.
    pub(crate) events: Sender<ControlEvent>,
    common: Common,
    socket: UdpSocket,
    membership: Membership,
    catch_up: CatchUp,
}

impl Core {
    pub(crate) fn new(
        identity: Identity,
        common: Common,
        socket: UdpSocket,
        events: Sender<ControlEvent>,
    ) -> Self {
        Self {
            store: Store::new(common.store, Limits::default()),
            state: State::default(),
            events,
            common,
            socket,
            membership: Membership::new(identity, Box::new(Pcg64::from_os_rng())),
            catch_up: CatchUp::default(),
        }
    }

    /// Serves the administration RPC and follows the store; peers are asked as well.
    pub(crate) async fn start(&self) -> Result<ServerHandle, RuntimeError> {
        let server = serve(self.common.admin, self.events.clone()).await?;
        task::spawn(follow(self.store.clone(), self.events.clone()));
        CatchUp::at_start(self.common.peers.clone(), &self.events);
        Ok(server)
    }

    /// Adopts objects and returns the keys of those that were newer.
    pub(crate) fn adopt(
        &mut self,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) -> BTreeSet<ObjectKey> {
        let before = self.state.complete();
        let changed = self.state.adopt(after, through, objects);
        if !changed.is_empty() || self.state.complete() > before {
            self.catch_up.advanced();
        }
        changed
    }

    /// Asks a peer that holds newer configuration than the store gave.
    pub(crate) fn compare(
        &mut self,
        peer: &Peer,
        service: Option<&ServiceName>,
        revision: Version,
    ) {
        let peer = (peer, service);
        self.catch_up
            .note(now(), &self.state, peer, revision, &self.events);
    }

    /// Feeds membership, sends its heartbeats and returns the actions that are left.
    pub(crate) fn advance(&mut self, event: Event) -> Vec<Action> {
        let mut left = Vec::new();
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
                other => left.push(other),
            }
        }
        left
    }

    /// When membership next wants a tick.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.membership.next_timer()
    }
}
