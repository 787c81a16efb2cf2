use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use async_std::prelude::FutureExt;
use async_std::{future, task};
use indexmap::IndexMap;
use serde_json::{Value, json};
use usher_config::{Kind, ObjectKey, ServiceEntry};
use usher_members::{Action, Event, Identity, Status};
use usher_routing::{Quarantine, Router, Table};
use usher_types::{HostId, Incarnation, PastRoster, Peer, Roster, ServiceName, Time, Version};

use super::fleet_entry::FleetEntry;
use crate::control::{Call, ControlEvent, Core, log_suspicion};
use crate::metrics::Metrics;
use crate::{BalancerSettings, RuntimeError, event, metric};
use usher_clock::now;

// Wait for an event when no timer is set.
const IDLE: Duration = Duration::from_secs(1);

/// Control state of a balancer.
pub(crate) struct Control {
    settings: BalancerSettings,
    incarnation: Incarnation,
    core: Core,
    router: Arc<ArcSwap<Router>>,
    metrics: Metrics,
    fleet_entry: FleetEntry,
    tables: IndexMap<ServiceName, Arc<Table>>,
    quarantine: Quarantine,
    // When the quarantine next releases an address.
    release: Option<Time>,
    suspected: IndexMap<ServiceName, Vec<HostId>>,
    was_listed: bool,
    // The published router is out of date; it is replaced once for all changes of one event.
    outdated: bool,
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
        let identity = Identity::Balancer {
            instance: settings.instance.clone(),
            centre: settings.common.centre.clone(),
            incarnation,
        };
        let core = Core::new(identity, settings.common.clone(), socket, events);
        Self {
            fleet_entry: FleetEntry::new(core.store.clone(), &settings, incarnation),
            core,
            settings,
            incarnation,
            router,
            metrics,
            tables: IndexMap::new(),
            quarantine: Quarantine::default(),
            release: None,
            suspected: IndexMap::new(),
            was_listed: false,
            outdated: false,
        }
    }

    pub(crate) async fn run(
        mut self,
        receiver: Receiver<ControlEvent>,
        stop: Receiver<()>,
    ) -> Result<(), RuntimeError> {
        let _server = self.core.start().await?;
        self.join();
        let stop = async {
            // No stop can arrive on a closed channel.
            if stop.recv().await.is_err() {
                future::pending::<()>().await;
            }
        };
        stop.race(self.process_events(receiver)).await;
        event::STOPPING.log(&[]);
        let known = self.known_fleet();
        self.fleet_entry.leave(known).await;
        Ok(())
    }

    fn join(&self) {
        task::spawn(self.fleet_entry.clone().join(self.known_fleet()));
    }

    // The store may have lost an entry that no process has adopted.
    fn rejoin(&self) {
        let fleet = self.core.state.fleet(self.settings.common.centre.as_str());
        let listed = fleet
            .as_ref()
            .and_then(|fleet| fleet.balancers.get(&self.settings.instance));
        if listed.is_none_or(|entry| entry.incarnation != self.incarnation) {
            self.join();
        }
    }

    // Version of the data centre's fleet that this balancer has adopted.
    fn known_fleet(&self) -> Version {
        let fleet = self.core.state.fleet(self.settings.common.centre.as_str());
        fleet.map_or_else(Version::default, |fleet| fleet.version)
    }

    async fn process_events(&mut self, receiver: Receiver<ControlEvent>) {
        loop {
            match future::timeout(self.wait(), receiver.recv()).await {
                Ok(Ok(event)) => self.handle(event),
                Ok(Err(_)) => return,
                Err(_) => self.tick(),
            }
            if self.outdated {
                self.publish();
            }
        }
    }

    fn wait(&self) -> Duration {
        let timers = [self.core.next_timer(), self.release];
        let due = timers.into_iter().flatten().min();
        due.map_or(IDLE, |due| Duration::from_micros((due - now()).as_micros()))
    }

    fn tick(&mut self) {
        self.outdated |= self.release.is_some_and(|release| release <= now());
        self.advance(Event::Tick);
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Objects(update) => {
                let changed = self.core.adopt(update);
                self.apply(&changed);
                self.report_revision();
            }
            ControlEvent::Restored => self.rejoin(),
            ControlEvent::WriteAgain => self.core.write_again(),
            ControlEvent::Store(true) => self.advance(Event::StoreUp),
            ControlEvent::Store(false) => self.advance(Event::StoreDown),
            ControlEvent::Beat { source, beat } => {
                self.compare_revision(&beat.from, beat.revision);
                self.advance(Event::Beat { source, beat });
            }
            ControlEvent::BeatAck(ack) => {
                self.compare_revision(&ack.from, ack.revision);
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

    // Peers may hold newer configuration while the store is down or serves stale objects.
    fn compare_revision(&mut self, peer: &Peer, revision: Version) {
        self.core.compare_revision(peer, None, revision);
    }

    fn advance(&mut self, event: Event) {
        for action in self.core.advance(event) {
            match action {
                Action::Suspected { service, hosts } => self.suspect(service, hosts),
                Action::ProposeFleet(proposal) => {
                    task::spawn(self.fleet_entry.clone().remove(proposal));
                }
                // The core sends heartbeats, and agents write rosters.
                Action::Beat { .. }
                | Action::Ack { .. }
                | Action::Distrusted { .. }
                | Action::Propose(_) => {}
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
        self.outdated = true;
    }

    // Rebuilds the tables that a change of configuration affects.
    fn apply(&mut self, changed: &BTreeSet<ObjectKey>) {
        if changed.is_empty() {
            return;
        }
        self.forget_deleted();
        let affected: Vec<ServiceEntry> = self.affected(changed).cloned().collect();
        for entry in affected {
            self.rebuild(&entry);
        }
        self.apply_fleet(changed);
        self.outdated = true;
    }

    fn report_revision(&mut self) {
        let revision = self.core.state.complete();
        let status = Status {
            revision,
            ..Status::default()
        };
        self.advance(Event::Status(status));
        self.metrics.gauge(&metric::REVISION, revision.get());
    }

    fn forget_deleted(&mut self) {
        let is_deleted = |service: &&ServiceName| self.core.state.service(service).is_none();
        let deleted: Vec<_> = self.tables.keys().filter(is_deleted).cloned().collect();
        for service in deleted {
            self.tables.shift_remove(&service);
            self.suspected.shift_remove(&service);
            self.advance(Event::ServiceDeleted(service));
        }
    }

    fn affected(&self, changed: &BTreeSet<ObjectKey>) -> impl Iterator<Item = &ServiceEntry> {
        self.core.state.services().filter(move |entry| {
            changed.iter().any(|key| match key.kind {
                // The change may resolve a conflict of another service, which then lacks a table.
                Kind::Service => {
                    let is_named = key.name.as_str() == entry.name.as_str();
                    is_named || !self.tables.contains_key(&entry.name)
                }
                Kind::Roster => key.name.as_str() == entry.name.as_str(),
                Kind::Profile => key.name.as_str() == entry.service.profile.as_str(),
                Kind::Fleet | Kind::Lease => false,
            })
        })
    }

    fn rebuild(&mut self, entry: &ServiceEntry) {
        let service = &entry.name;
        let Some(roster) = self.core.state.roster(service) else {
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

    fn apply_fleet(&mut self, changed: &BTreeSet<ObjectKey>) {
        let centre = self.settings.common.centre.clone();
        if !changed
            .iter()
            .any(|key| key.kind == Kind::Fleet && key.name.as_str() == centre.as_str())
        {
            return;
        }
        if let Some(fleet) = self.core.state.fleet(centre.as_str()) {
            let is_listed = fleet.balancers.contains_key(&self.settings.instance);
            self.advance(Event::Fleet { centre, fleet });
            // Other balancers removed this one because they did not receive its heartbeats.
            if self.was_listed && !is_listed {
                event::UNLISTED.log(&[("centre", &self.settings.common.centre)]);
                self.join();
            }
            self.was_listed = is_listed;
        }
    }

    fn publish(&mut self) {
        self.outdated = false;
        let time = now();
        let entries = self.core.state.services();
        self.quarantine.update(
            time,
            entries.map(|entry| (entry.service.address, &entry.name)),
        );
        self.release = self.quarantine.next_release(time);
        let usable = self
            .core
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
                let _ = reply.try_send(self.core.state.since(version));
            }
            Call::Drain(reply) => {
                let _ = reply.try_send(false);
            }
            Call::TakeOver(_, reply) => {
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
            "revision": self.core.state.complete(),
            "state": "serving",
            "services": self.tables.len(),
            "suspected": self.suspected.values().flatten().collect::<Vec<_>>(),
        })
    }
}

/// Incarnation of this process: wall-clock time in milliseconds.
///
/// A later process on the same host or instance has a higher one.
pub(crate) fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since.as_millis() as u64)
}
