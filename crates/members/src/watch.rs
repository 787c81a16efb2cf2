use std::sync::Arc;

use indexmap::IndexMap;
use usher_placement::highest_ranked;
use usher_types::{Beat, HostId, Incarnation, Peer, Roster, Span, Time, Weight};

use crate::balancers::Balancers;
use crate::liveness::{Liveness, REPORTERS};
use crate::{Change, Identity};

/// Time under suspicion after which a member is removed from the roster.
pub(crate) const REMOVAL: Span = Span::from_secs(10);
/// Time between two proposals of the same removal.
pub(crate) const REMOVAL_RETRY: Span = Span::from_secs(5);

/// Roster of one service and the liveness of its members.
#[derive(Debug)]
pub(crate) struct Watch {
    roster: Arc<Roster>,
    liveness: IndexMap<HostId, Liveness>,
    distrusted: bool,
    next_removal: Time,
}

impl Watch {
    pub(crate) fn new() -> Self {
        Self {
            roster: Arc::default(),
            liveness: IndexMap::new(),
            distrusted: false,
            next_removal: Time::ZERO,
        }
    }

    pub(crate) fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Adopts a roster and decides which members send their heartbeats to this process.
    pub(crate) fn adopt(
        &mut self,
        now: Time,
        roster: Arc<Roster>,
        identity: &Identity,
        balancers: &Balancers,
    ) {
        let earlier = std::mem::replace(&mut self.roster, roster);
        let roster = Arc::clone(&self.roster);
        self.liveness
            .retain(|host, _| roster.members.contains_key(host));
        for (host, member) in &roster.members {
            if Some(host) == identity.host() {
                continue;
            }
            let direct = balancers.receives(identity, &member.centre, host);
            let liveness = self
                .liveness
                .entry(host.clone())
                .or_insert_with(|| Liveness::new(now, direct));
            liveness.set_direct(now, direct);
            let known = earlier.members.get(host);
            if known.is_some_and(|known| known.incarnation < member.incarnation) {
                liveness.on_restart(now);
            }
        }
        self.next_removal = now;
    }

    /// Records a member's heartbeat; false if it is stale or from an earlier process.
    pub(crate) fn on_beat(&mut self, now: Time, host: &HostId, beat: &Beat) -> bool {
        let listed = self.roster.members.get(host);
        let current = listed.is_some_and(|member| member.incarnation <= beat.incarnation);
        let liveness = self.liveness.get_mut(host).filter(|_| current);
        liveness.is_some_and(|liveness| liveness.on_beat(now, beat))
    }

    pub(crate) fn alive_at(&mut self, host: &HostId, time: Time) {
        if let Some(liveness) = self.liveness.get_mut(host) {
            liveness.alive_at(time);
        }
    }

    /// Records that another process reports a member as silent.
    pub(crate) fn on_report(&mut self, now: Time, from: &Peer, suspect: &HostId) {
        if let Some(liveness) = self.liveness.get_mut(suspect) {
            liveness.on_report(now, from);
        }
    }

    /// Restarts the silence timeout of all members; used after this process was paused.
    pub(crate) fn reset_silence(&mut self, now: Time) {
        for liveness in self.liveness.values_mut() {
            liveness.alive_at(now);
        }
    }

    /// Re-evaluates all members; returns whether suspicion or trust changed.
    pub(crate) fn update(&mut self, now: Time) -> (bool, bool) {
        let dead = self
            .liveness
            .values()
            .filter(|liveness| liveness.looks_dead(now))
            .count();
        let distrusted = dead * 2 > self.roster.members.len();
        let trust_changed = distrusted != self.distrusted;
        self.distrusted = distrusted;
        let mut suspicion_changed = false;
        for liveness in self.liveness.values_mut() {
            let before = liveness.is_suspected();
            liveness.update(now, !distrusted, REPORTERS);
            suspicion_changed |= liveness.is_suspected() != before;
        }
        (suspicion_changed, trust_changed)
    }

    pub(crate) fn is_distrusted(&self) -> bool {
        self.distrusted
    }

    pub(crate) fn suspected(&self) -> Vec<HostId> {
        let suspected = self.liveness.iter().filter(|(_, s)| s.is_suspected());
        suspected.map(|(host, _)| host.clone()).collect()
    }

    /// Members that this process reports as silent; a distrusted view adds no new ones.
    pub(crate) fn silent(&self, now: Time) -> impl Iterator<Item = &HostId> {
        let reported = move |liveness: &Liveness| {
            liveness.is_silent(now) && (!self.distrusted || liveness.is_suspected())
        };
        self.liveness
            .iter()
            .filter(move |(_, liveness)| reported(liveness))
            .map(|(host, _)| host)
    }

    /// Members that are not suspected, without this process's own host.
    pub(crate) fn live(&self) -> impl Iterator<Item = &HostId> {
        self.liveness
            .iter()
            .filter(|(_, liveness)| !liveness.is_suspected())
            .map(|(host, _)| host)
    }

    /// The removal that is due, if this host is the one to propose it.
    pub(crate) fn removal(&mut self, now: Time, own: &HostId) -> Option<Change> {
        if self.distrusted || now < self.next_removal || !self.roster.members.contains_key(own) {
            return None;
        }
        let hosts = self.overdue(now);
        if hosts.is_empty() {
            return None;
        }
        let live = self.live().chain([own]);
        let members = live.map(|host| (host, Weight::NOMINAL));
        if highest_ranked(self.roster.version.get(), members) != Some(own) {
            return None;
        }
        self.next_removal = now + REMOVAL_RETRY;
        Some(Change::Remove { hosts })
    }

    fn overdue(&self, now: Time) -> Vec<(HostId, Incarnation)> {
        let due = |liveness: &Liveness| {
            liveness
                .suspected_since()
                .is_some_and(|since| now.since(since) >= REMOVAL)
        };
        self.liveness
            .iter()
            .filter(|(_, liveness)| due(liveness))
            .filter_map(|(host, _)| {
                Some((host.clone(), self.roster.members.get(host)?.incarnation))
            })
            .collect()
    }
}
