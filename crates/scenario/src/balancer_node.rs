use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_config::{Cache, Object};
use usher_members::{Action, Event, Identity, Membership, Status};
use usher_routing::{Forward, HintTable, Quarantine, Router, Table};
use usher_types::{
    DataCentre, HostId, Incarnation, InstanceId, Message, Packet, PastRoster, Roster, ServiceName,
    Time, Version,
};

use crate::effect::Effect;
use crate::machine::apply;

const MAX_HINTS: usize = 1_000;

/// Balancer assembled from the decision crates as in the real process, without threads and sockets.
#[derive(Debug)]
pub(crate) struct BalancerNode {
    pub(crate) cache: Cache,
    pub(crate) effects: Vec<Effect>,
    /// Number of dropped packets by reason.
    pub(crate) dropped: BTreeMap<String, u64>,
    address: SocketAddrV4,
    centre: DataCentre,
    membership: Membership,
    router: Router,
    hints: HintTable,
    tables: IndexMap<ServiceName, Arc<Table>>,
    suspected: IndexMap<ServiceName, Vec<HostId>>,
    quarantine: Quarantine,
    // When the next address leaves quarantine.
    release: Option<Time>,
}

impl BalancerNode {
    pub(crate) fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        address: SocketAddrV4,
        centre: DataCentre,
        seed: u64,
    ) -> Self {
        let identity = Identity::Balancer {
            instance,
            centre: centre.clone(),
            incarnation,
        };
        Self {
            cache: Cache::default(),
            effects: Vec::new(),
            dropped: BTreeMap::new(),
            address,
            centre,
            membership: Membership::new(identity, Box::new(Pcg64::seed_from_u64(seed))),
            router: Router::default(),
            hints: HintTable::new(MAX_HINTS),
            tables: IndexMap::new(),
            suspected: IndexMap::new(),
            quarantine: Quarantine::default(),
            release: None,
        }
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        let timers = [self.membership.next_timer(), self.release];
        timers.into_iter().flatten().min()
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if self.release.is_some_and(|release| release <= now) {
            self.publish(now);
        }
        if self.membership.next_timer().is_some_and(|due| due <= now) {
            self.update_membership(now, Event::Tick);
        }
    }

    pub(crate) fn forward_packet(&mut self, packet: Packet) {
        match self.router.forward(packet, &mut self.hints, self.address) {
            Forward::Send { to, relay } => {
                let message = Message::Relay(relay);
                self.effects.push(Effect::Send { to, message });
            }
            Forward::Drop(reason) => {
                *self.dropped.entry(reason.to_string()).or_default() += 1;
            }
        }
    }

    pub(crate) fn handle_message(&mut self, now: Time, source: SocketAddrV4, message: Message) {
        match message {
            Message::Hint(hint) => self.hints.insert(hint.flow, hint.holder),
            Message::Beat(beat) => self.update_membership(now, Event::Beat { source, beat }),
            Message::BeatAck(ack) => self.update_membership(now, Event::BeatAck(ack)),
            Message::Relay(_) | Message::Agent { .. } => {}
        }
    }

    pub(crate) fn set_store_up(&mut self, now: Time, up: bool) {
        self.update_membership(now, if up { Event::StoreUp } else { Event::StoreDown });
    }

    pub(crate) fn adopt_objects(
        &mut self,
        now: Time,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) {
        if apply(&mut self.cache, after, through, objects) == 0 {
            return;
        }
        let services: Vec<ServiceName> = self.cache.services().map(|(name, _)| name).collect();
        self.tables.retain(|name, _| services.contains(name));
        for service in services {
            self.rebuild(now, &service);
        }
        let centre = self.centre.clone();
        if let Some(fleet) = self.cache.fleet(centre.as_str()) {
            self.update_membership(now, Event::Fleet { centre, fleet });
        }
        self.publish(now);
        let revision = self.cache.complete();
        let status = Status {
            revision,
            ..Status::default()
        };
        self.update_membership(now, Event::Status(status));
    }

    fn update_membership(&mut self, now: Time, event: Event) {
        for action in self.membership.handle(now, event) {
            match action {
                Action::Beat { to, beat } => {
                    self.effects.extend(Effect::beats(to, beat));
                }
                Action::Ack { to, ack } => {
                    let message = Message::BeatAck(ack);
                    self.effects.push(Effect::Send { to, message });
                }
                Action::Suspected { service, hosts } => {
                    if let Some(table) = self.tables.get_mut(&service) {
                        *table = Arc::new(table.with_suspected(&hosts));
                    }
                    self.suspected.insert(service, hosts);
                    self.publish(now);
                }
                // The simulation joins fleets itself, in one step.
                Action::Distrusted { .. } | Action::Propose(_) | Action::ProposeFleet(_) => {}
            }
        }
    }

    // Builds the table of a service if its roster or its generation changed.
    fn rebuild(&mut self, now: Time, service: &ServiceName) {
        let Some(entry) = self.cache.service(service).cloned() else {
            return;
        };
        let buckets = self
            .cache
            .profile(&entry.profile)
            .map(|found| found.buckets);
        let (Some(buckets), Some(roster)) = (buckets, self.cache.roster(service)) else {
            return;
        };
        let known = self.tables.get(service);
        let is_new = known.is_none_or(|table| {
            (table.version(), table.generation()) != (roster.version, entry.generation)
        });
        if !is_new {
            return;
        }
        let earlier: Vec<Roster> = roster.earlier.iter().map(PastRoster::to_roster).collect();
        let rosters = std::iter::once(&*roster).chain(&earlier);
        let table = Table::new(service.clone(), entry.generation, buckets, rosters);
        let suspected = self.suspected.get(service).map_or(&[][..], Vec::as_slice);
        let table = Arc::new(table.with_suspected(suspected));
        self.tables.insert(service.clone(), table);
        let service = service.clone();
        self.update_membership(now, Event::Roster { service, roster });
    }

    // Replaces the router by one with the tables of all addresses outside quarantine.
    fn publish(&mut self, now: Time) {
        let services: Vec<_> = self.cache.services().collect();
        let addresses = services.iter().map(|(name, entry)| (entry.address, name));
        self.quarantine.update(now, addresses);
        self.release = self.quarantine.next_release(now);
        let usable = services
            .iter()
            .filter(|(_, entry)| self.quarantine.admits(now, entry.address));
        let tables = usable
            .filter_map(|(name, entry)| Some((entry.address, Arc::clone(self.tables.get(name)?))));
        self.router = Router::new(tables);
    }
}

impl BalancerNode {
    /// Configuration revision in force.
    pub(crate) fn revision(&self) -> Version {
        self.cache.complete()
    }
}
