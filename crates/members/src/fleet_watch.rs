use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{Beat, DataCentre, Fleet, Incarnation, InstanceId, Peer, Time};

use crate::balancers::Balancers;
use crate::liveness::{Liveness, REPORTERS};
use crate::watch::{REMOVAL, REMOVAL_RETRY};
use crate::{FleetProposal, Identity};

/// Liveness of the other balancers of a balancer's data centre.
#[derive(Debug, Default)]
pub(crate) struct FleetWatch {
    fleet: Arc<Fleet>,
    liveness: IndexMap<InstanceId, Liveness>,
    distrusted: bool,
    next_removal: Time,
}

impl FleetWatch {
    /// Adopts a fleet and decides which balancers send their heartbeats to this one.
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
            let receivers = balancers.receivers(centre, name);
            let direct = receivers.iter().any(|receiver| receiver == own);
            let liveness = self
                .liveness
                .entry(name.clone())
                .or_insert_with(|| Liveness::new(now, direct));
            liveness.set_direct(now, direct);
            let known = earlier.balancers.get(name);
            if known.is_some_and(|known| known.incarnation < entry.incarnation) {
                liveness.on_restart(now);
            }
        }
        self.next_removal = now;
    }

    /// Records a heartbeat and the balancers that its sender reports as silent.
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

    /// Restarts the silence timeout of all balancers; used after this process was paused.
    pub(crate) fn reset_silence(&mut self, now: Time) {
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
        // In a fleet of two balancers only this one can report the other.
        let reporters = REPORTERS.min(self.liveness.len());
        for liveness in self.liveness.values_mut() {
            liveness.update(now, !self.distrusted, reporters);
        }
    }

    /// Balancers that this one reports as silent; a distrusted view adds no new ones.
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
                let rank = self.rank(instance, &balancers.receivers(centre, name));
                rank.is_some_and(|rank| now.since(*since) >= REMOVAL + REMOVAL_RETRY * rank)
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

    /// Rank of this balancer among the live receivers of a silent one's heartbeats.
    ///
    /// A higher rank waits longer before it proposes, in case the first cannot reach the store.
    fn rank(&self, own: &InstanceId, receivers: &[InstanceId]) -> Option<u64> {
        let is_live = |name: &&InstanceId| {
            let liveness = self.liveness.get(*name);
            liveness.is_none_or(|liveness| !liveness.is_suspected())
        };
        let preceding = receivers
            .iter()
            .filter(is_live)
            .position(|name| name == own)?;
        Some(preceding as u64)
    }
}

/// Instance and data centre of a balancer; `None` for an agent.
pub(crate) fn balancer(identity: &Identity) -> Option<(&InstanceId, &DataCentre)> {
    match identity {
        Identity::Balancer {
            instance, centre, ..
        } => Some((instance, centre)),
        Identity::Agent { .. } => None,
    }
}
