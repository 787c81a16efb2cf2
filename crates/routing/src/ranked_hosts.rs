use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_placement::highest_ranked;
use usher_types::{Bucket, Buckets, HostId, HostState, Roster, Weight};

/// Candidates per bucket; with 3, two hosts may fail before the roster changes.
pub(crate) const CANDIDATES: usize = 3;
/// Hosts selected per bucket: candidates, the draining owner, owners under two earlier rosters.
pub(crate) const MAX_SELECTED: usize = CANDIDATES + 3;
/// Rosters that a table uses, including the current one.
pub(crate) const ROSTERS: usize = 3;
/// Largest number of buckets per serving host for which a table is precomputed.
///
/// At 12 bytes a bucket, 100,000 hosts take at most 77 MB.
const BUCKETS_PER_HOST: usize = 64;
/// Stored in a precomputed row where no host was selected.
const NO_HOST: u16 = u16::MAX;

/// Hosts selected for a bucket, as indexes into [`RankedHosts`].
///
/// Candidates come first, then hosts that may hold flows.
pub(crate) type Selected = [Option<usize>; MAX_SELECTED];

/// Hosts of up to three rosters, ranked for each bucket.
#[derive(Debug)]
pub(crate) struct RankedHosts {
    hosts: Box<[HostId]>,
    agents: Box<[SocketAddrV4]>,
    serving: Box<[WeightedHost]>,
    draining: Box<[WeightedHost]>,
    earlier: Box<[Box<[WeightedHost]>]>,
    precomputed: Option<Box<[[u16; MAX_SELECTED]]>>,
}

#[derive(Debug, Clone, Copy)]
struct WeightedHost {
    host: u32,
    weight: Weight,
}

impl RankedHosts {
    /// Takes rosters newest first; ignores all after the third.
    pub(crate) fn new<'a>(rosters: impl IntoIterator<Item = &'a Roster>, buckets: Buckets) -> Self {
        let mut hosts: IndexMap<HostId, SocketAddrV4> = IndexMap::new();
        let mut serving = Vec::new();
        let mut draining = Vec::new();
        for roster in rosters.into_iter().take(ROSTERS) {
            serving.push(entries(roster, HostState::Serving, &mut hosts));
            draining.push(entries(roster, HostState::Draining, &mut hosts));
        }
        let earlier = serving.split_off(serving.len().min(1));
        let mut ranked = Self {
            agents: hosts.values().copied().collect(),
            hosts: hosts.into_keys().collect(),
            serving: serving.pop().unwrap_or_default(),
            draining: draining.into_iter().next().unwrap_or_default(),
            earlier: earlier.into(),
            precomputed: None,
        };
        ranked.precompute(buckets);
        ranked
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub(crate) fn agent(&self, index: usize) -> SocketAddrV4 {
        self.agents[index]
    }

    pub(crate) fn position(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|known| known == host)
    }

    pub(crate) fn position_of_agent(&self, agent: SocketAddrV4) -> Option<usize> {
        self.agents.iter().position(|known| *known == agent)
    }

    pub(crate) fn selected(&self, bucket: Bucket) -> Selected {
        let stored = self
            .precomputed
            .as_ref()
            .and_then(|table| table.get(bucket.get() as usize));
        match stored {
            Some(row) => row.map(|index| (index != NO_HOST).then_some(usize::from(index))),
            None => self.rank(bucket),
        }
    }

    /// Returns the highest-ranked serving member that passes the filter.
    pub(crate) fn first_serving(
        &self,
        bucket: Bucket,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        self.first(bucket, &self.serving, is_allowed)
    }

    fn precompute(&mut self, buckets: Buckets) {
        let count = buckets.get() as usize;
        let indexes_fit = self.hosts.len() < usize::from(NO_HOST);
        if indexes_fit && self.serving.len() * BUCKETS_PER_HOST >= count {
            let stored = |choice: Option<usize>| choice.map_or(NO_HOST, |index| index as u16);
            let row = |bucket| self.rank(Bucket::new(bucket)).map(stored);
            self.precomputed = Some((0..buckets.get()).map(row).collect());
        }
    }

    fn rank(&self, bucket: Bucket) -> Selected {
        let mut selected = [None; MAX_SELECTED];
        for place in 0..CANDIDATES {
            let taken = selected;
            let free = |index| !taken.contains(&Some(index));
            selected[place] = self.first(bucket, &self.serving, free);
        }
        selected[CANDIDATES] = self.draining_owner(bucket, selected[0]);
        for (roster, choice) in self.earlier.iter().zip(&mut selected[CANDIDATES + 1..]) {
            *choice = self.first(bucket, roster, |_| true);
        }
        selected
    }

    /// Returns the draining member that would own the bucket if it still took new flows.
    fn draining_owner(&self, bucket: Bucket, owner: Option<usize>) -> Option<usize> {
        if self.draining.is_empty() {
            return None;
        }
        let owner = self
            .serving
            .iter()
            .filter(|entry| Some(entry.host as usize) == owner);
        let best = self.best(bucket, self.draining.iter().chain(owner))?;
        let drains = self
            .draining
            .iter()
            .any(|entry| entry.host as usize == best);
        drains.then_some(best)
    }

    fn first(
        &self,
        bucket: Bucket,
        entries: &[WeightedHost],
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let admitted = entries
            .iter()
            .filter(|entry| is_allowed(entry.host as usize));
        self.best(bucket, admitted)
    }

    fn best<'a>(
        &self,
        bucket: Bucket,
        entries: impl Iterator<Item = &'a WeightedHost>,
    ) -> Option<usize> {
        let members = entries.map(|entry| (&self.hosts[entry.host as usize], entry.weight));
        let host = highest_ranked(u64::from(bucket.get()), members)?;
        // `highest_ranked` returns a reference into `hosts`, so its position there is the index.
        self.hosts
            .iter()
            .position(|known| std::ptr::eq(known, host))
    }
}

fn entries(
    roster: &Roster,
    state: HostState,
    hosts: &mut IndexMap<HostId, SocketAddrV4>,
) -> Box<[WeightedHost]> {
    let mut entries = Vec::new();
    for (host, member) in &roster.members {
        if member.state == state {
            let map_entry = hosts.entry(host.clone());
            let index = map_entry.index();
            map_entry.or_insert(member.agent);
            entries.push(WeightedHost {
                host: index as u32,
                weight: member.weight,
            });
        }
    }
    entries.into()
}
