use std::collections::VecDeque;
use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_placement::{bucket_of, highest_ranked, rank};
use usher_types::{
    Buckets, FlowId, HostId, HostState, Member, Roster, Span, Time, Version, Weight,
};

// Number of earlier rosters that a balancer routes by.
const MAX_EARLIER: usize = 2;

/// The current roster and the time since which all members have adopted it.
#[derive(Debug, Default)]
pub(super) struct Membership {
    roster: Arc<Roster>,
    earlier: VecDeque<Arc<Roster>>,
    adopted_since: Option<Time>,
}

impl Membership {
    pub(super) fn version(&self) -> Version {
        self.roster.version
    }

    /// Adopts a newer roster and returns the previous one.
    pub(super) fn adopt(&mut self, roster: &Arc<Roster>) -> Option<Arc<Roster>> {
        if roster.version <= self.roster.version && !self.roster.members.is_empty() {
            return None;
        }
        self.adopted_since = None;
        let before = mem::replace(&mut self.roster, Arc::clone(roster));
        self.earlier.push_front(Arc::clone(&before));
        self.earlier.truncate(MAX_EARLIER);
        Some(before)
    }

    /// Records that every member has adopted the current roster.
    pub(super) fn confirm_adoption(&mut self, now: Time, version: Version) {
        if version == self.roster.version && self.adopted_since.is_none() {
            self.adopted_since = Some(now);
        }
    }

    pub(super) fn is_settled(&self, now: Time, settle: Span) -> bool {
        self.adopted_since
            .is_some_and(|since| now.since(since) >= settle)
    }

    /// Agent of the serving member that owns a flow's bucket.
    pub(super) fn owner(&self, flow: &FlowId, buckets: Buckets) -> Option<SocketAddrV4> {
        let (_, member) = self.top_ranked(flow, buckets, |_| true)?;
        Some(member.agent)
    }

    /// Agents that owned a flow's bucket under earlier rosters.
    pub(super) fn earlier_owners(&self, flow: &FlowId, buckets: Buckets) -> Vec<SocketAddrV4> {
        let owner = |roster: &Arc<Roster>| {
            let host = highest_ranked(bucket_key(flow, buckets), serving(roster))?;
            Some(roster.members.get(host)?.agent)
        };
        self.earlier.iter().filter_map(owner).collect()
    }

    /// Member that owns a flow's bucket if `excluded` leaves.
    pub(super) fn successor(
        &self,
        flow: &FlowId,
        buckets: Buckets,
        excluded: &HostId,
    ) -> Option<(&HostId, &Member)> {
        self.top_ranked(flow, buckets, |host| host != excluded)
    }

    /// Agents of the highest-ranked serving members for a flow's bucket.
    pub(super) fn candidates(
        &self,
        flow: &FlowId,
        buckets: Buckets,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let order = rank(bucket_key(flow, buckets), serving(&self.roster));
        let agent = |host: &HostId| self.roster.members.get(host).map(|member| member.agent);
        order.into_iter().filter_map(agent).take(count).collect()
    }

    pub(super) fn host_at(&self, agent: SocketAddrV4) -> Option<&HostId> {
        let mut members = self.roster.members.iter();
        members
            .find(|(_, member)| member.agent == agent)
            .map(|(host, _)| host)
    }

    pub(super) fn agent_of(&self, host: &HostId) -> Option<SocketAddrV4> {
        self.roster.members.get(host).map(|member| member.agent)
    }

    /// Whether an agent is a member and has not restarted since roster `before`.
    pub(super) fn remains(&self, before: &Roster, agent: SocketAddrV4) -> bool {
        let Some(host) = self.host_at(agent) else {
            return false;
        };
        let incarnation =
            |roster: &Roster| roster.members.get(host).map(|member| member.incarnation);
        incarnation(before).is_none_or(|earlier| incarnation(&self.roster) == Some(earlier))
    }

    fn top_ranked(
        &self,
        flow: &FlowId,
        buckets: Buckets,
        is_included: impl Fn(&HostId) -> bool,
    ) -> Option<(&HostId, &Member)> {
        let members = serving(&self.roster).filter(|(host, _)| is_included(host));
        let host = highest_ranked(bucket_key(flow, buckets), members)?;
        self.roster.members.get_key_value(host)
    }
}

fn serving(roster: &Roster) -> impl Iterator<Item = (&HostId, Weight)> {
    roster
        .members
        .iter()
        .filter(|(_, member)| member.state == HostState::Serving)
        .map(|(host, member)| (host, member.weight))
}

fn bucket_key(flow: &FlowId, buckets: Buckets) -> u64 {
    u64::from(bucket_of(flow, buckets).get())
}
