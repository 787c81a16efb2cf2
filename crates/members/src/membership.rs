use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::RngCore;
use usher_types::{
    Beat, BeatAck, DataCentre, Fleet, HostId, HostState, Peer, Roster, ServiceName, Span, Time,
    Version,
};

use crate::balancers::Balancers;
use crate::fleet_watch::{FleetWatch, balancer};
use crate::liveness::SILENCE;
use crate::own_host::OwnHost;
use crate::services::Services;
use crate::suspect_rotation::SuspectRotation;
use crate::watch::Watch;
use crate::{Action, Change, Event, HostLifecycle, Identity, Proposal, Status};

/// Time between two heartbeats.
const BEAT: Span = Span::from_secs(1);

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
#[derive(Debug)]
pub struct Membership {
    pub(crate) identity: Identity,
    pub(crate) status: Status,
    pub(crate) state: HostState,
    pub(crate) own: OwnHost,
    store_up: bool,
    pub(crate) balancers: Balancers,
    pub(crate) services: Services,
    pub(crate) fleet: FleetWatch,
    pub(crate) suspects: SuspectRotation,
    last_tick: Option<Time>,
    next_beat: Time,
    // Members of this process's service that are known to have its current roster.
    pub(crate) synced: HashSet<HostId>,
}

impl Membership {
    /// Creates a membership without rosters; the store counts as up.
    ///
    /// `random` delays proposals, to spread them; a seeded generator makes a run repeatable.
    pub fn new(identity: Identity, random: Box<dyn RngCore + Send>) -> Self {
        Self {
            identity,
            status: Status::default(),
            state: HostState::Serving,
            own: OwnHost::new(random),
            store_up: true,
            balancers: Balancers::default(),
            services: Services::default(),
            fleet: FleetWatch::default(),
            suspects: SuspectRotation::default(),
            last_tick: None,
            next_beat: Time::ZERO,
            synced: HashSet::new(),
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
            Event::Roster { service, roster } => self.on_roster(now, &service, roster),
            Event::ServiceDeleted(service) => self.services.forget(&service),
            Event::Fleet { centre, fleet } => self.on_fleet(now, &centre, fleet),
            Event::Beat { source, beat } => return self.on_beat(now, source, &beat),
            Event::BeatAck(ack) => self.on_ack(now, &ack),
            Event::Status(status) => self.status = status,
            Event::StoreDown => self.store_up = false,
            Event::StoreUp => self.store_up = true,
            Event::Join(member) => {
                if let Some(host) = self.identity.host().cloned() {
                    self.advance(now, |lifecycle| lifecycle.join(host, member));
                }
            }
            Event::Drain => {
                self.state = HostState::Draining;
                self.advance(now, HostLifecycle::drain);
            }
            Event::Leave => self.advance(now, HostLifecycle::leave),
        }
        Vec::new()
    }

    /// When the next `Event::Tick` is due.
    pub fn next_timer(&self) -> Option<Time> {
        let proposal = self.own.due().filter(|_| self.store_up);
        Some(proposal.map_or(self.next_beat, |time| time.min(self.next_beat)))
    }

    /// The state of this process's own host.
    pub fn lifecycle(&self) -> &HostLifecycle {
        self.own.lifecycle()
    }

    pub(crate) fn own_watch(&self) -> Option<&Watch> {
        self.services.get(self.identity.service()?)
    }

    fn advance(&mut self, now: Time, step: impl FnOnce(HostLifecycle) -> HostLifecycle) {
        let roster = self.own_watch().map(|watch| Arc::clone(watch.roster()));
        self.own.advance(now, roster.as_deref(), step);
    }

    /// Moves this process's own host to the state that its roster shows.
    fn follow_roster(&mut self, now: Time) {
        let roster = self.own_watch().map(|watch| Arc::clone(watch.roster()));
        self.own
            .advance(now, roster.as_deref(), |lifecycle| match &roster {
                Some(roster) => lifecycle.adopt(roster),
                None => lifecycle,
            });
    }

    fn on_roster(&mut self, now: Time, service: &ServiceName, roster: Arc<Roster>) {
        let own = self.identity.service();
        let is_own = own == Some(service);
        if own.is_some() && !is_own {
            return;
        }
        let observer = (&self.identity, &self.balancers);
        let adopted = self.services.adopt(now, service, roster, observer);
        if adopted && is_own {
            self.follow_roster(now);
            // A lease holds for one roster version, so a new one is renewed without delay.
            self.synced.clear();
            self.next_beat = now;
        }
    }

    fn on_fleet(&mut self, now: Time, centre: &DataCentre, fleet: Arc<Fleet>) {
        if !self.balancers.adopt(centre, Arc::clone(&fleet)) || centre != self.identity.centre() {
            return;
        }
        self.services.refresh(now, &self.identity, &self.balancers);
        if let Some((own, _)) = balancer(&self.identity) {
            self.fleet.adopt(now, fleet, own, (centre, &self.balancers));
        }
    }

    fn on_ack(&mut self, now: Time, ack: &BeatAck) {
        match &ack.from {
            Peer::Host(_) => self.services.on_ack(now, ack),
            Peer::Instance(instance) => self.fleet.alive_at(instance, ack.sent.min(now)),
        }
    }

    fn on_beat(&mut self, now: Time, source: SocketAddrV4, beat: &Beat) -> Vec<Action> {
        let service = match &beat.from {
            Peer::Instance(instance) => {
                self.fleet.on_beat(now, instance, beat);
                None
            }
            Peer::Host(host) => match self.services.on_beat(now, host, beat) {
                Some(service) => Some(service),
                None => return Vec::new(),
            },
        };
        self.services.on_reports(now, beat, service.as_ref());
        let ack = self.acknowledge(beat, service.as_ref());
        let ack = ack.map(|ack| Action::Ack { to: source, ack });
        ack.into_iter()
            .chain(self.resend_beat(now, source, beat))
            .collect()
    }

    fn on_tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions: Vec<_> = self.own_proposal(now).into_iter().collect();
        if now < self.next_beat {
            return actions;
        }
        self.next_beat = now + BEAT;
        let paused = self
            .last_tick
            .is_some_and(|last| now.since(last) >= SILENCE);
        self.last_tick = Some(now);
        if paused {
            self.services
                .iter_mut()
                .for_each(|(_, watch)| watch.reset_silence(now));
            self.fleet.reset_silence(now);
        }
        for (service, watch) in self.services.iter_mut() {
            actions.extend(evaluate(now, service, watch));
        }
        self.fleet.update(now);
        let silent: Vec<Peer> = self.silent(now).collect();
        self.suspects.advance(silent.into_iter());
        actions.extend(self.beats(now));
        actions.extend(self.removal(now));
        actions.extend(self.fleet_removal(now));
        actions
    }

    fn own_proposal(&mut self, now: Time) -> Option<Action> {
        if !self.store_up {
            return None;
        }
        let roster = Arc::clone(self.own_watch()?.roster());
        let change = self.own.proposal(now, &roster)?;
        self.propose(roster.version, change)
    }

    fn removal(&mut self, now: Time) -> Option<Action> {
        let host = self.identity.host()?;
        if !self.store_up || !self.own.lifecycle().beats() {
            return None;
        }
        let watch = self.services.get_mut(self.identity.service()?)?;
        let change = watch.removal(now, host)?;
        let base = watch.roster().version;
        self.propose(base, change)
    }

    fn fleet_removal(&mut self, now: Time) -> Option<Action> {
        let own = balancer(&self.identity).filter(|_| self.store_up)?;
        let proposal = self.fleet.removal(now, own, &self.balancers)?;
        Some(Action::ProposeFleet(proposal))
    }

    fn propose(&self, base: Version, change: Change) -> Option<Action> {
        let service = self.identity.service()?.clone();
        Some(Action::Propose(Proposal {
            service,
            base,
            change,
        }))
    }
}

/// Re-evaluates a service and returns an action for each change.
fn evaluate(now: Time, service: &ServiceName, watch: &mut Watch) -> Vec<Action> {
    let (suspicion, trust) = watch.update(now);
    let suspected = suspicion.then(|| Action::Suspected {
        service: service.clone(),
        hosts: watch.suspected(),
    });
    let distrusted = trust.then(|| Action::Distrusted {
        service: service.clone(),
        distrusted: watch.is_distrusted(),
    });
    suspected.into_iter().chain(distrusted).collect()
}
