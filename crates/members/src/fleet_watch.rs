use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{Beat, DataCentre, Fleet, Incarnation, InstanceId, Peer, Time};

use crate::balancers::Balancers;
use crate::liveness::{Liveness, REPORTERS};
use crate::watch::{REMOVAL, REMOVAL_RETRY};
use crate::{FleetProposal, Identity};

/// The other balancers of a balancer's data centre as it sees them.
#[derive(Debug, Default)]
pub(crate) struct FleetWatch {
    fleet: Arc<Fleet>,
    liveness: IndexMap<InstanceId, Liveness>,
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
        self.liveness
            .retain(|name, _| fleet.balancers.contains_key(name));
        for (name, entry) in fleet.balancers.iter().filter(|(name, _)| *name != own) {
            let hearers = balancers.hearers(centre, name);
            let observed = hearers.iter().any(|hearer| hearer == own);
            let liveness = self
                .liveness
                .entry(name.clone())
                .or_insert_with(|| Liveness::new(now, observed));
            liveness.observe(now, observed);
            let known = earlier.balancers.get(name);
            if known.is_some_and(|known| known.incarnation < entry.incarnation) {
                liveness.renew(now);
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
        if let Some(liveness) = self.liveness.get_mut(from) {
            liveness.on_beat(now, beat);
        }
        for suspect in &beat.suspects {
            if let Peer::Instance(name) = suspect
                && let Some(liveness) = self.liveness.get_mut(name)
            {
                liveness.on_report(now, &beat.from);
            }
        }
    }

    pub(crate) fn alive_at(&mut self, name: &InstanceId, time: Time) {
        if let Some(liveness) = self.liveness.get_mut(name) {
            liveness.alive_at(time);
        }
    }

    /// Treats all balancers as heard now; used after this process was paused.
    pub(crate) fn excuse(&mut self, now: Time) {
        for liveness in self.liveness.values_mut() {
            liveness.alive_at(now);
        }
    }

    /// Re-evaluates all balancers.
    pub(crate) fn update(&mut self, now: Time) {
        let dead = self
            .liveness
            .values()
            .filter(|liveness| liveness.looks_dead(now))
            .count();
        self.distrusted = dead * 2 > self.fleet.balancers.len();
        // Of two balancers only one is left to report.
        let reporters = REPORTERS.min(self.liveness.len());
        for liveness in self.liveness.values_mut() {
            liveness.update(now, !self.distrusted, reporters);
        }
    }

    /// Balancers that this one reports as silent; a distrusted view reports nothing new.
    pub(crate) fn silent(&self, now: Time) -> impl Iterator<Item = &InstanceId> {
        let reported = move |liveness: &Liveness| {
            liveness.is_silent(now) && (!self.distrusted || liveness.is_suspected())
        };
        self.liveness
            .iter()
            .filter(move |(_, liveness)| reported(liveness))
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
            .liveness
            .iter()
            .filter_map(|(name, liveness)| Some((name, liveness.suspected_since()?)))
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
            let liveness = self.liveness.get(*name);
            liveness.is_none_or(|liveness| !liveness.is_suspected())
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
