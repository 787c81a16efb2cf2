use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{Beat, DataCentre, Fleet, Incarnation, InstanceId, Peer, Time};

use crate::balancers::Balancers;
use crate::sighting::{REPORTERS, Sighting};
use crate::watch::{REMOVAL, REMOVAL_RETRY};
use crate::{FleetProposal, Identity};

/// The other balancers of a balancer's data centre as it sees them.
#[derive(Debug, Default)]
pub(crate) struct FleetWatch {
    fleet: Arc<Fleet>,
    sightings: IndexMap<InstanceId, Sighting>,
    distrusted: bool,
    next_removal: Time,
}

impl FleetWatch {
    /// Adopts a fleet and decides which balancers this one hears directly.
    pub(crate) fn adopt(
        &mut self,
        now: Time,
        fleet: Arc<Fleet>,
        own: &InstanceId,
        (centre, balancers): (&DataCentre, &Balancers),
    ) {
        let earlier = std::mem::replace(&mut self.fleet, fleet);
        let fleet = Arc::clone(&self.fleet);
        self.sightings
            .retain(|name, _| fleet.balancers.contains_key(name));
        for (name, entry) in fleet.balancers.iter().filter(|(name, _)| *name != own) {
            let hearers = balancers.hearers(centre, name);
            let observed = hearers.iter().any(|hearer| hearer == own);
            let sighting = self
                .sightings
                .entry(name.clone())
                .or_insert_with(|| Sighting::new(now, observed));
            sighting.observe(now, observed);
            let known = earlier.balancers.get(name);
            if known.is_some_and(|known| known.incarnation < entry.incarnation) {
                sighting.renew(now);
            }
        }
        self.next_removal = now;
    }

    /// Counts a heartbeat and the balancers that its sender no longer hears.
    pub(crate) fn on_beat(&mut self, now: Time, from: &InstanceId, beat: &Beat) {
        let listed = self.fleet.balancers.get(from);
        if listed.is_none_or(|listed| listed.incarnation > beat.incarnation) {
            return;
        }
        if let Some(sighting) = self.sightings.get_mut(from) {
            sighting.on_beat(now, beat);
        }
        for suspect in &beat.suspects {
            if let Peer::Instance(name) = suspect
                && let Some(sighting) = self.sightings.get_mut(name)
            {
                sighting.on_report(now, &beat.from);
            }
        }
    }

    pub(crate) fn alive_at(&mut self, name: &InstanceId, time: Time) {
        if let Some(sighting) = self.sightings.get_mut(name) {
            sighting.alive_at(time);
        }
    }

    /// Treats all balancers as heard now; used after this process was paused.
    pub(crate) fn excuse(&mut self, now: Time) {
        for sighting in self.sightings.values_mut() {
            sighting.alive_at(now);
        }
    }

    /// Re-evaluates all balancers.
    pub(crate) fn update(&mut self, now: Time) {
        let dead = self
            .sightings
            .values()
            .filter(|sighting| sighting.looks_dead(now))
            .count();
        self.distrusted = dead * 2 > self.fleet.balancers.len();
        // Of two balancers only one is left to report.
        let reporters = REPORTERS.min(self.sightings.len());
        for sighting in self.sightings.values_mut() {
            sighting.update(now, !self.distrusted, reporters);
        }
    }

    /// Balancers that this one reports as silent; a distrusted view reports nothing new.
    pub(crate) fn silent(&self, now: Time) -> impl Iterator<Item = &InstanceId> {
        let reported = move |sighting: &Sighting| {
            sighting.is_silent(now) && (!self.distrusted || sighting.is_suspected())
        };
        self.sightings
            .iter()
            .filter(move |(_, sighting)| reported(sighting))
            .map(|(name, _)| name)
    }

    /// The removal that is due, if this balancer is the one to propose it.
    pub(crate) fn removal(
        &mut self,
        now: Time,
        own: (&InstanceId, &DataCentre),
        balancers: &Balancers,
    ) -> Option<FleetProposal> {
        let (instance, centre) = own;
        let listed = self.fleet.balancers.contains_key(instance);
        if self.distrusted || now < self.next_removal || !listed {
            return None;
        }
        let due: Vec<(InstanceId, Incarnation)> = self
            .sightings
            .iter()
            .filter_map(|(name, sighting)| Some((name, sighting.suspected_since()?)))
            .filter(|(name, since)| {
                let turn = self.turn(instance, &balancers.hearers(centre, name));
                turn.is_some_and(|turn| now.since(*since) >= REMOVAL + REMOVAL_RETRY * turn)
            })
            .filter_map(|(name, _)| {
                Some((name.clone(), self.fleet.balancers.get(name)?.incarnation))
            })
            .collect();
        if due.is_empty() {
            return None;
        }
        self.next_removal = now + REMOVAL_RETRY;
        Some(FleetProposal {
            centre: centre.clone(),
            base: self.fleet.version,
            balancers: due,
        })
    }

    /// Place of this balancer among the live ones that hear a silent one.
    ///
    /// Each later one waits longer, in case the first cannot reach the store.
    fn turn(&self, own: &InstanceId, hearers: &[InstanceId]) -> Option<u64> {
        let is_live = |name: &&InstanceId| {
            let sighting = self.sightings.get(*name);
            sighting.is_none_or(|sighting| !sighting.is_suspected())
        };
        let place = hearers
            .iter()
            .filter(is_live)
            .position(|name| name == own)?;
        Some(place as u64)
    }
}

/// The instance and data centre of a balancer.
pub(crate) fn balancer(identity: &Identity) -> Option<(&InstanceId, &DataCentre)> {
    match identity {
        Identity::Balancer {
            instance, centre, ..
        } => Some((instance, centre)),
        Identity::Agent { .. } => None,
    }
}
