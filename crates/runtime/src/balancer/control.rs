use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use async_std::prelude::FutureExt;
use async_std::{future, task};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use usher_config::{Entry, Kind, ObjectKey};
use usher_members::{Action, Event, Identity, Membership, Status};
use usher_platform::{Limits, Store};
use usher_routing::{Quarantine, Router, Table};
use usher_types::{
    HostId, Incarnation, Message, PastRoster, Peer, Roster, ServiceName, Time, Version,
};

use super::fleet_entry::FleetEntry;
use crate::clock::now;
use crate::control::{Call, CatchUp, ControlEvent, State, follow, log_suspicion, serve};
use crate::metrics::Metrics;
use crate::{BalancerSettings, RuntimeError, event, metric, socket};

const IDLE: Duration = Duration::from_secs(1);

/// Control state of a balancer.
pub(crate) struct Control {
    settings: BalancerSettings,
    incarnation: Incarnation,
    socket: UdpSocket,
    router: Arc<ArcSwap<Router>>,
    metrics: Metrics,
    events: Sender<ControlEvent>,
    store: Store,
    entry: FleetEntry,
    state: State,
    catch_up: CatchUp,
    membership: Membership,
    tables: IndexMap<ServiceName, Arc<Table>>,
    quarantine: Quarantine,
    release: Option<Time>,
    suspected: IndexMap<ServiceName, Vec<HostId>>,
    was_listed: bool,
}

impl Control {
    pub(crate) fn new(
        settings: BalancerSettings,
        socket: UdpSocket,
        router: Arc<ArcSwap<Router>>,
        metrics: Metrics,
        events: Sender<ControlEvent>,
    ) -> Self {
        let incarnation = incarnation();
        let store = Store::new(settings.common.store, Limits::default());
        let identity = Identity::Balancer {
            instance: settings.instance.clone(),
            centre: settings.common.centre.clone(),
            incarnation,
        };
        Self {
            entry: FleetEntry::new(store.clone(), &settings, incarnation),
            store,
            membership: Membership::new(identity, Box::new(Pcg64::from_os_rng())),
            settings,
            incarnation,
            socket,
            router,
            metrics,
            events,
            state: State::default(),
            catch_up: CatchUp::default(),
            tables: IndexMap::new(),
            quarantine: Quarantine::default(),
            release: None,
            suspected: IndexMap::new(),
            was_listed: false,
        }
    }

    pub(crate) async fn run(
        mut self,
        receiver: Receiver<ControlEvent>,
        stop: Receiver<()>,
    ) -> Result<(), RuntimeError> {
        let _server = serve(self.settings.common.admin, self.events.clone()).await?;
        task::spawn(follow(self.store.clone(), self.events.clone()));
        let peers = self.settings.common.peers.clone();
        CatchUp::at_start(peers, &self.events);
        self.join();
        let stop = async {
            // A closed channel means that nobody can ask for a stop.
            if stop.recv().await.is_err() {
                future::pending::<()>().await;
            }
        };
        stop.race(self.work(receiver)).await;
        event::STOPPING.log(&[]);
        self.entry.leave().await;
        Ok(())
    }

    fn join(&self) {
        task::spawn(self.entry.clone().join());
    }

    async fn work(&mut self, receiver: Receiver<ControlEvent>) {
        loop {
            match future::timeout(self.wait(), receiver.recv()).await {
                Ok(Ok(event)) => self.handle(event),
                Ok(Err(_)) => return,
                Err(_) => self.tick(),
            }
        }
    }

    fn wait(&self) -> Duration {
        let timers = [self.membership.next_timer(), self.release];
        let due = timers.into_iter().flatten().min();
        due.map_or(IDLE, |due| Duration::from_micros((due - now()).as_micros()))
    }

    fn tick(&mut self) {
        if self.release.is_some_and(|release| release <= now()) {
            self.publish();
        }
        self.advance(Event::Tick);
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Objects {
                after,
                through,
                objects,
            } => {
                let changed = self.state.adopt(after, through, objects);
                self.catch_up.advanced();
                self.apply(&changed);
                self.report_revision();
            }
            ControlEvent::Store(true) => self.advance(Event::StoreUp),
            ControlEvent::Store(false) => self.advance(Event::StoreDown),
            ControlEvent::Beat { source, beat } => {
                self.compare(&beat.from, beat.revision);
                self.advance(Event::Beat { source, beat });
            }
            ControlEvent::BeatAck(ack) => {
                self.compare(&ack.from, ack.revision);
                self.advance(Event::BeatAck(ack));
            }
            ControlEvent::Call(call) => self.answer(call),
            ControlEvent::Load { .. }
            | ControlEvent::InForce(_)
            | ControlEvent::Drained
            | ControlEvent::Leaving
            | ControlEvent::RecordsDrained
            | ControlEvent::Written(_)
            | ControlEvent::Stop => {}
        }
    }

    // Peers may hold newer configuration while the store is down or serves old answers.
    fn compare(&mut self, peer: &Peer, revision: Version) {
        self.catch_up
            .note(now(), &self.state, (peer, None), revision, &self.events);
    }

    fn advance(&mut self, event: Event) {
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
                Action::Suspected { service, hosts } => self.suspect(service, hosts),
                // Agents write rosters; balancers only watch them.
                Action::Distrusted { .. } | Action::Propose(_) => {}
                Action::ProposeFleet(proposal) => {
                    task::spawn(self.entry.clone().remove(proposal));
                }
            }
        }
    }

    fn suspect(&mut self, service: ServiceName, hosts: Vec<HostId>) {
        let before = self.suspected.get(&service).map_or(&[][..], Vec::as_slice);
        log_suspicion(&service, before, &hosts);
        if let Some(table) = self.tables.get_mut(&service) {
            *table = Arc::new(table.with_suspected(&hosts));
        }
        self.suspected.insert(service, hosts);
        self.publish();
    }

    // Rebuilds the tables that a change of configuration touches.
    fn apply(&mut self, changed: &BTreeSet<ObjectKey>) {
        if changed.is_empty() {
            return;
        }
        self.forget_deleted();
        let touched: Vec<Entry> = self.touched(changed).cloned().collect();
        for entry in touched {
            self.rebuild(&entry);
        }
        self.watch_fleet(changed);
        self.publish();
    }

    fn report_revision(&mut self) {
        let revision = self.state.complete();
        let status = Status {
            revision,
            ..Status::default()
        };
        self.advance(Event::Status(status));
        self.metrics.gauge(&metric::REVISION, revision.get());
    }

    fn forget_deleted(&mut self) {
        let is_deleted = |service: &&ServiceName| self.state.service(service).is_none();
        let deleted: Vec<_> = self.tables.keys().filter(is_deleted).cloned().collect();
        for service in deleted {
            self.tables.shift_remove(&service);
            self.suspected.shift_remove(&service);
            self.advance(Event::Forget(service));
        }
    }

    fn touched(&self, changed: &BTreeSet<ObjectKey>) -> impl Iterator<Item = &Entry> {
        self.state.services().filter(move |entry| {
            changed.iter().any(|key| match key.kind {
                // A change of one service can give or take the address of another.
                Kind::Service => true,
                Kind::Roster => key.name.as_str() == entry.name.as_str(),
                Kind::Profile => key.name.as_str() == entry.service.profile.as_str(),
                Kind::Fleet | Kind::Lease => false,
            })
        })
    }

    fn rebuild(&mut self, entry: &Entry) {
        let service = &entry.name;
        let Some(roster) = self.state.roster(service) else {
            return;
        };
        let earlier: Vec<Roster> = roster.earlier.iter().map(PastRoster::to_roster).collect();
        let rosters = std::iter::once(&*roster).chain(&earlier);
        let generation = entry.service.generation;
        let table = Table::new(service.clone(), generation, entry.profile.buckets, rosters);
        let suspected = self.suspected.get(service).map_or(&[][..], Vec::as_slice);
        let table = Arc::new(table.with_suspected(suspected));
        self.tables.insert(service.clone(), table);
        event::ROSTER.log(&[
            ("service", service),
            ("version", &roster.version),
            ("members", &roster.members.len()),
        ]);
        let service = service.clone();
        self.advance(Event::Roster { service, roster });
    }

    fn watch_fleet(&mut self, changed: &BTreeSet<ObjectKey>) {
        let centre = self.settings.common.centre.clone();
        if !changed
            .iter()
            .any(|key| key.kind == Kind::Fleet && key.name.as_str() == centre.as_str())
        {
            return;
        }
        if let Some(fleet) = self.state.fleet(centre.as_str()) {
            let is_listed = fleet.balancers.contains_key(&self.settings.instance);
            self.advance(Event::Fleet { centre, fleet });
            // Others removed this balancer while they did not hear it.
            if self.was_listed && !is_listed {
                event::UNLISTED.log(&[("centre", &self.settings.common.centre)]);
                self.join();
            }
            self.was_listed = is_listed;
        }
    }

    fn publish(&mut self) {
        let time = now();
        let entries = self.state.services();
        self.quarantine.note(
            time,
            entries.map(|entry| (entry.service.address, &entry.name)),
        );
        self.release = self.quarantine.next_release(time);
        let usable = self
            .state
            .services()
            .filter(|entry| self.quarantine.admits(time, entry.service.address));
        let tables = usable.filter_map(|entry| {
            Some((
                entry.service.address,
                Arc::clone(self.tables.get(&entry.name)?),
            ))
        });
        self.router.store(Arc::new(Router::new(tables)));
    }

    fn answer(&self, call: Call) {
        match call {
            Call::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            Call::Since(version, reply) => {
                let _ = reply.try_send(self.state.since(version));
            }
            Call::Drain(reply) => {
                let _ = reply.try_send(false);
            }
            Call::Parcel(_, reply) => {
                let _ = reply.try_send(None);
            }
        }
    }

    fn status(&self) -> Value {
        json!({
            "role": "balancer",
            "name": self.settings.instance,
            "centre": self.settings.common.centre,
            "incarnation": self.incarnation,
            "revision": self.state.complete(),
            "state": "serving",
            "services": self.tables.len(),
            "suspected": self.suspected.values().flatten().collect::<Vec<_>>(),
        })
    }
}

/// Milliseconds of wall-clock time, so that a later process on the same host has a higher one.
pub(crate) fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since.as_millis() as u64)
}
