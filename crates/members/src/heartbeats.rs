use std::net::SocketAddrV4;

use indexmap::IndexSet;
use usher_types::{Beat, BeatAck, DataCentre, HostId, InstanceId, Peer, ServiceName, Time};

use crate::watch::Watch;
use crate::{Action, Identity, Membership};

/// Members of a service that a balancer notifies of a silent one.
const MAX_NOTIFIED: usize = 16;

impl Membership {
    /// Hosts and balancers that this process reports as silent.
    pub(crate) fn silent(&self, now: Time) -> impl Iterator<Item = Peer> {
        let balancers = self.fleet.silent(now).cloned().map(Peer::Instance);
        let members = self
            .services
            .iter()
            .flat_map(move |watch| watch.silent(now));
        balancers.chain(hosts(members))
    }

    pub(crate) fn beats(&self, now: Time) -> Vec<Action> {
        match &self.identity {
            Identity::Agent { host, centre, .. } => {
                let Some(watch) = self.own_watch().filter(|_| self.own.lifecycle().beats()) else {
                    return Vec::new();
                };
                let others = watch.roster().members.iter();
                let others = others.filter(|(other, _)| *other != host);
                let mut to = self.balancers.host_receivers(centre, host);
                to.extend(others.map(|(_, member)| member.agent));
                self.beat(now, to, hosts(watch.silent(now)))
                    .into_iter()
                    .collect()
            }
            Identity::Balancer {
                instance, centre, ..
            } => {
                let to = self.fleet_targets(now, instance, centre);
                let notified = self
                    .services
                    .iter()
                    .filter_map(|watch| self.notify_members(now, watch));
                self.beat(now, to, self.silent(now))
                    .into_iter()
                    .chain(notified)
                    .collect()
            }
        }
    }

    /// Repeats the heartbeat for a member that has only now adopted the same roster.
    ///
    /// It could not acknowledge the one that followed this process's own adoption.
    pub(crate) fn resend_beat(
        &mut self,
        now: Time,
        source: SocketAddrV4,
        beat: &Beat,
    ) -> Option<Action> {
        let Peer::Host(host) = &beat.from else {
            return None;
        };
        let watch = self.own_watch().filter(|_| self.own.lifecycle().beats())?;
        if beat.roster != watch.roster().version || self.synced.contains(host) {
            return None;
        }
        let repeated = self.beat(now, vec![source], hosts(watch.silent(now)));
        self.synced.insert(host.clone());
        repeated
    }

    /// Acknowledges a heartbeat, unless that would renew a lease of an older roster.
    ///
    /// A process that is not listed in its roster acknowledges no heartbeat of its service: an
    /// earlier process on the same host may have adopted a newer roster and stopped.
    pub(crate) fn acknowledge(
        &self,
        beat: &Beat,
        service: Option<&ServiceName>,
    ) -> Option<BeatAck> {
        let roster = self.services.version(service);
        let renews = self.identity.service().is_some() && service.is_some();
        let outdated = renews && (beat.roster < roster || !self.own.lifecycle().beats());
        (!outdated).then(|| BeatAck {
            from: self.identity.peer(),
            roster,
            revision: self.status.revision,
            sent: beat.sent,
        })
    }

    /// Balancers of this data centre that receive heartbeats of this one or of a silent one.
    ///
    /// The second group thereby gets a second report where not all receive all heartbeats.
    fn fleet_targets(&self, now: Time, own: &InstanceId, centre: &DataCentre) -> Vec<SocketAddrV4> {
        let silent = self.fleet.silent(now);
        let reporters = silent.flat_map(|name| self.balancers.receivers(centre, name));
        let names = self.balancers.receivers(centre, own).into_iter();
        let names: IndexSet<InstanceId> = names.chain(reporters).collect();
        let others = names.iter().filter(|name| *name != own);
        others
            .filter_map(|name| self.balancers.control(centre, name))
            .collect()
    }

    /// Reports silent members to live ones, which in small services lack a second reporter.
    fn notify_members(&self, now: Time, watch: &Watch) -> Option<Action> {
        watch.silent(now).next()?;
        let members = &watch.roster().members;
        let notified = watch
            .live()
            .filter_map(|host| members.get(host))
            .take(MAX_NOTIFIED);
        self.beat(
            now,
            notified.map(|member| member.agent).collect(),
            hosts(watch.silent(now)),
        )
    }

    fn beat(
        &self,
        now: Time,
        to: Vec<SocketAddrV4>,
        silent: impl Iterator<Item = Peer>,
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
            suspects: self.suspects.list(silent),
        };
        (!to.is_empty()).then_some(Action::Beat { to, beat })
    }
}

fn hosts<'a>(silent: impl Iterator<Item = &'a HostId>) -> impl Iterator<Item = Peer> {
    silent.cloned().map(Peer::Host)
}
