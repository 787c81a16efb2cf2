use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::{Rng, RngCore};
use usher_types::{
    Beat, BeatAck, DataCentre, Fleet, HostId, HostState, Peer, Roster, ServiceName, Span, Time,
    Version,
};

use crate::balancers::Balancers;
use crate::sighting::SILENCE;
use crate::watch::Watch;
use crate::{Action, Change, Event, HostLife, Identity, Proposal, Status};

/// Time between two heartbeats.
const BEAT: Span = Span::from_secs(1);
/// Random delay of a process's own proposal, so that many starts spread their writes.
const JITTER: Span = Span::from_secs(1);
/// Time after which an own proposal is repeated if no roster confirms it.
const PROPOSAL_RETRY: Span = Span::from_secs(3);
/// Reported hosts per heartbeat, which bounds its size.
const MAX_SUSPECTS: usize = 32;
/// Members of a service that a balancer tells of a silent one.
const TOLD: usize = 16;

/// Heartbeats, suspicion and roster proposals of one process.
///
/// An agent watches its own service; a balancer watches every service whose roster it is given.
///
/// ```
/// use usher_members::{Identity, Membership};
/// use usher_types::Incarnation;
/// let identity = Identity::Balancer {
///     instance: "entry-1".parse()?,
///     centre: "kolkata".parse()?,
///     incarnation: Incarnation::new(1),
/// };
/// let membership = Membership::new(identity, Box::new(rand_pcg::Pcg64::new(1, 1)));
/// assert!(membership.next_timer().is_some());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
pub struct Membership {
    identity: Identity,
    random: Box<dyn RngCore + Send>,
    status: Status,
    state: HostState,
    life: HostLife,
    store_up: bool,
    balancers: Balancers,
    watches: IndexMap<ServiceName, Watch>,
    services: HashMap<HostId, ServiceName>,
    ticked: Option<Time>,
    next_beat: Time,
    next_proposal: Option<Time>,
}

impl Membership {
    /// A process that knows no roster yet; the store counts as up.
    ///
    /// `random` spreads proposals; a seeded generator makes a run repeatable.
    pub fn new(identity: Identity, random: Box<dyn RngCore + Send>) -> Self {
        Self {
            identity,
            random,
            status: Status::default(),
            state: HostState::Serving,
            life: HostLife::default(),
            store_up: true,
            balancers: Balancers::default(),
            watches: IndexMap::new(),
            services: HashMap::new(),
            ticked: None,
            next_beat: Time::ZERO,
            next_proposal: None,
        }
    }

    /// Reacts to one event.
    ///
    /// ```
    /// use usher_members::{Event, Identity, Membership};
    /// use usher_types::{Incarnation, Time};
    /// let identity = Identity::Balancer {
    ///     instance: "entry-1".parse()?,
    ///     centre: "kolkata".parse()?,
    ///     incarnation: Incarnation::new(1),
    /// };
    /// let mut membership = Membership::new(identity, Box::new(rand_pcg::Pcg64::new(1, 1)));
    /// assert!(membership.handle(Time::ZERO, Event::Tick).is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => return self.on_tick(now),
            Event::Roster { service, roster } => return self.on_roster(now, &service, roster),
            Event::Forget(service) => self.forget(&service),
            Event::Fleet { centre, fleet } => self.on_fleet(now, &centre, fleet),
            Event::Beat { source, beat } => return self.on_beat(now, source, &beat),
            Event::BeatAck(ack) => self.on_ack(now, &ack),
            Event::Status(status) => self.status = status,
            Event::StoreDown => self.store_up = false,
            Event::StoreUp => self.store_up = true,
            Event::Join(member) => {
                if let Some(host) = self.identity.host().cloned() {
                    self.advance(now, |life| life.join(host, member));
                }
            }
            Event::Drain => {
                self.state = HostState::Draining;
                self.advance(now, HostLife::drain);
            }
            Event::Leave => self.advance(now, HostLife::leave),
        }
        Vec::new()
    }

    /// When the next `Event::Tick` is due.
    pub fn next_timer(&self) -> Option<Time> {
        let proposal = self.next_proposal.filter(|_| self.store_up);
        Some(proposal.map_or(self.next_beat, |time| time.min(self.next_beat)))
    }

    /// The state of this process's own host.
    pub fn life(&self) -> &HostLife {
        &self.life
    }

    fn advance(&mut self, now: Time, step: impl FnOnce(HostLife) -> HostLife) {
        self.life = step(std::mem::take(&mut self.life));
        self.schedule_proposal(now);
    }

    fn own_watch(&self) -> Option<&Watch> {
        self.watches.get(self.identity.service()?)
    }

    fn schedule_proposal(&mut self, now: Time) {
        let pending = self
            .own_watch()
            .and_then(|watch| self.life.pending(watch.roster()));
        self.next_proposal = pending.map(|_| {
            let delay = self.random.random_range(0..JITTER.as_micros());
            now + Span::from_micros(delay)
        });
    }

    fn on_roster(&mut self, now: Time, service: &ServiceName, roster: Arc<Roster>) -> Vec<Action> {
        let foreign = self.identity.service().is_some_and(|own| own != service);
        let known = self.watches.get(service);
        if foreign || known.is_some_and(|known| known.roster().version >= roster.version) {
            return Vec::new();
        }
        for host in known.iter().flat_map(|known| known.roster().members.keys()) {
            self.services.remove(host);
        }
        for host in roster.members.keys() {
            self.services.insert(host.clone(), service.clone());
        }
        let watch = self
            .watches
            .entry(service.clone())
            .or_insert_with(Watch::new);
        let hears = |host: &HostId, centre: &DataCentre| {
            hears(&self.identity, &self.balancers, host, centre)
        };
        watch.adopt(now, roster, self.identity.host(), |host, member| {
            hears(host, &member.centre)
        });
        if self.identity.service() == Some(service) {
            let roster = Arc::clone(watch.roster());
            self.advance(now, |life| life.adopt(&roster));
        }
        self.evaluate(now, service)
    }

    fn forget(&mut self, service: &ServiceName) {
        if let Some(watch) = self.watches.shift_remove(service) {
            for host in watch.roster().members.keys() {
                self.services.remove(host);
            }
        }
    }

    fn on_fleet(&mut self, now: Time, centre: &DataCentre, fleet: Arc<Fleet>) {
        if !self.balancers.adopt(centre, fleet) || centre != self.identity.centre() {
            return;
        }
        for watch in self.watches.values_mut() {
            let roster = Arc::clone(watch.roster());
            watch.adopt(now, roster, self.identity.host(), |host, member| {
                hears(&self.identity, &self.balancers, host, &member.centre)
            });
        }
    }

    fn on_beat(&mut self, now: Time, source: SocketAddrV4, beat: &Beat) -> Vec<Action> {
        let service = match &beat.from {
            Peer::Host(host) => {
                let Some(service) = self.services.get(host) else {
                    return Vec::new();
                };
                let Some(watch) = self.watches.get_mut(service) else {
                    return Vec::new();
                };
                if !watch.on_beat(now, host, beat) {
                    return Vec::new();
                }
                Some(service.clone())
            }
            Peer::Instance(_) => None,
        };
        self.on_reports(now, beat, service.as_ref());
        self.acknowledge(source, beat, service.as_ref())
    }

    /// Counts the hosts that the sender no longer hears; an agent speaks of its own service only.
    fn on_reports(&mut self, now: Time, beat: &Beat, service: Option<&ServiceName>) {
        for suspect in &beat.suspects {
            let of = self.services.get(suspect);
            let about = of.filter(|of| service.is_none_or(|service| service == *of));
            if let Some(watch) = about.and_then(|about| self.watches.get_mut(about)) {
                watch.on_report(now, &beat.from, suspect);
            }
        }
    }

    /// A member acknowledges no heartbeat of an older roster, so that it renews no old lease.
    fn acknowledge(
        &self,
        to: SocketAddrV4,
        beat: &Beat,
        service: Option<&ServiceName>,
    ) -> Vec<Action> {
        let watch = service.and_then(|service| self.watches.get(service));
        let roster = watch.map_or_else(Version::default, |watch| watch.roster().version);
        let renews = self.identity.service().is_some() && service.is_some();
        if renews && beat.roster < roster {
            return Vec::new();
        }
        let ack = BeatAck {
            from: self.identity.peer(),
            roster,
            revision: self.status.revision,
            sent: beat.sent,
        };
        vec![Action::Ack { to, ack }]
    }

    /// The member was alive when this process sent the heartbeat that is acknowledged.
    fn on_ack(&mut self, now: Time, ack: &BeatAck) {
        let Peer::Host(host) = &ack.from else { return };
        let service = self.services.get(host);
        if let Some(watch) = service.and_then(|service| self.watches.get_mut(service)) {
            watch.alive_at(host, ack.sent.min(now));
        }
    }

    fn on_tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.own_proposal(now);
        if now < self.next_beat {
            return actions;
        }
        self.next_beat = now + BEAT;
        let paused = self.ticked.is_some_and(|last| now.since(last) >= SILENCE);
        self.ticked = Some(now);
        let services: Vec<_> = self.watches.keys().cloned().collect();
        for service in &services {
            if paused && let Some(watch) = self.watches.get_mut(service) {
                watch.excuse(now);
            }
            actions.extend(self.evaluate(now, service));
        }
        actions.extend(self.beats(now));
        actions.extend(self.removal(now));
        actions
    }

    fn evaluate(&mut self, now: Time, service: &ServiceName) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(watch) = self.watches.get_mut(service) else {
            return actions;
        };
        let (suspicion, trust) = watch.update(now);
        if suspicion {
            actions.push(Action::Suspected {
                service: service.clone(),
                hosts: watch.suspected(),
            });
        }
        if trust {
            actions.push(Action::Distrusted {
                service: service.clone(),
                distrusted: watch.is_distrusted(),
            });
        }
        actions
    }

    fn own_proposal(&mut self, now: Time) -> Vec<Action> {
        let due = self.next_proposal.is_some_and(|time| now >= time);
        let Some(watch) = self.own_watch().filter(|_| due && self.store_up) else {
            return Vec::new();
        };
        let base = watch.roster().version;
        let change = self.life.pending(watch.roster());
        self.next_proposal = change.is_some().then_some(now + PROPOSAL_RETRY);
        change
            .and_then(|change| self.propose(base, change))
            .into_iter()
            .collect()
    }

    fn removal(&mut self, now: Time) -> Option<Action> {
        let host = self.identity.host()?;
        if !self.store_up || !self.life.beats() {
            return None;
        }
        let watch = self.watches.get_mut(self.identity.service()?)?;
        let change = watch.removal(now, host)?;
        let base = watch.roster().version;
        self.propose(base, change)
    }

    fn propose(&self, base: Version, change: Change) -> Option<Action> {
        let service = self.identity.service()?.clone();
        Some(Action::Propose(Proposal {
            service,
            base,
            change,
        }))
    }

    fn beats(&self, now: Time) -> Vec<Action> {
        match &self.identity {
            Identity::Agent { host, centre, .. } => {
                let Some(watch) = self.own_watch().filter(|_| self.life.beats()) else {
                    return Vec::new();
                };
                let others = watch.roster().members.iter();
                let others = others.filter(|(other, _)| *other != host);
                let mut to = self.balancers.of_host(centre, host);
                to.extend(others.map(|(_, member)| member.agent));
                self.beat(now, to, watch.silent(now)).into_iter().collect()
            }
            Identity::Balancer { instance, .. } => {
                let silent = self.watches.values().flat_map(|watch| watch.silent(now));
                let to = self.balancers.of_balancer(instance);
                let told = self
                    .watches
                    .values()
                    .filter_map(|watch| self.tell(now, watch));
                self.beat(now, to, silent).into_iter().chain(told).collect()
            }
        }
    }

    /// A balancer's report to live members, which in small services lack a second reporter.
    fn tell(&self, now: Time, watch: &Watch) -> Option<Action> {
        watch.silent(now).next()?;
        let members = &watch.roster().members;
        let told = watch.live().filter_map(|host| members.get(host)).take(TOLD);
        self.beat(
            now,
            told.map(|member| member.agent).collect(),
            watch.silent(now),
        )
    }

    fn beat<'a>(
        &self,
        now: Time,
        to: Vec<SocketAddrV4>,
        silent: impl Iterator<Item = &'a HostId>,
    ) -> Option<Action> {
        let roster = self.own_watch().map(|watch| watch.roster().version);
        let beat = Beat {
            from: self.identity.peer(),
            incarnation: self.identity.incarnation(),
            roster: roster.unwrap_or_default(),
            revision: self.status.revision,
            state: self.state,
            wait: self.status.wait,
            weight: self.status.weight,
            sent: now,
            suspects: silent.take(MAX_SUSPECTS).cloned().collect(),
        };
        (!to.is_empty()).then_some(Action::Beat { to, beat })
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("identity", &self.identity)
            .field("life", &self.life)
            .field("store_up", &self.store_up)
            .field("watches", &self.watches)
            .finish_non_exhaustive()
    }
}

/// Whether this process receives a host's heartbeats directly.
fn hears(identity: &Identity, balancers: &Balancers, host: &HostId, centre: &DataCentre) -> bool {
    match identity {
        Identity::Agent { .. } => true,
        Identity::Balancer {
            instance,
            centre: own,
            ..
        } => own == centre && balancers.hears(centre, instance, host),
    }
}
