use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_placement::first;
use usher_types::{Bucket, Buckets, HostId, HostState, Roster, Weight};

/// Candidates per bucket; the third covers the loss of two hosts before a roster change.
pub(crate) const CANDIDATES: usize = 3;
/// Picks per bucket: candidates, the draining owner, owners under two earlier rosters.
pub(crate) const PICKS: usize = CANDIDATES + 3;
/// Rosters taken into account, the current one included.
pub(crate) const ROSTERS: usize = 3;
/// A table is precomputed if it has at most this many buckets per serving host; at 12 bytes a
/// bucket, 100,000 hosts take at most 77 MB.
const BUCKETS_PER_HOST: usize = 64;
const NONE: u16 = u16::MAX;

/// Hosts of a bucket by index into the pool: candidates first, then agents that may hold flows.
pub(crate) type Picks = [Option<usize>; PICKS];

/// All hosts of up to three rosters and their order for each bucket.
#[derive(Debug)]
pub(crate) struct Pool {
    hosts: Box<[HostId]>,
    agents: Box<[SocketAddrV4]>,
    serving: Box<[Entry]>,
    draining: Box<[Entry]>,
    earlier: Box<[Box<[Entry]>]>,
    precomputed: Option<Box<[[u16; PICKS]]>>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    host: u32,
    weight: Weight,
}

impl Pool {
    /// Rosters newest first; more than three are ignored.
    pub(crate) fn new<'a>(rosters: impl IntoIterator<Item = &'a Roster>, buckets: Buckets) -> Self {
        let mut hosts: IndexMap<HostId, SocketAddrV4> = IndexMap::new();
        let mut serving = Vec::new();
        let mut draining = Vec::new();
        for roster in rosters.into_iter().take(ROSTERS) {
            serving.push(entries(roster, HostState::Serving, &mut hosts));
            draining.push(entries(roster, HostState::Draining, &mut hosts));
        }
        let earlier = serving.split_off(serving.len().min(1));
        let mut pool = Self {
            agents: hosts.values().copied().collect(),
            hosts: hosts.into_keys().collect(),
            serving: serving.pop().unwrap_or_default(),
            draining: draining.into_iter().next().unwrap_or_default(),
            earlier: earlier.into(),
            precomputed: None,
        };
        pool.precompute(buckets);
        pool
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

    pub(crate) fn picks(&self, bucket: Bucket) -> Picks {
        let stored = self
            .precomputed
            .as_ref()
            .and_then(|table| table.get(bucket.get() as usize));
        match stored {
            Some(row) => row.map(|index| (index != NONE).then_some(usize::from(index))),
            None => self.rank(bucket),
        }
    }

    /// First serving member for a bucket among those that pass the filter.
    pub(crate) fn first_serving(
        &self,
        bucket: Bucket,
        admit: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        self.first(bucket, &self.serving, admit)
    }

    fn precompute(&mut self, buckets: Buckets) {
        let count = buckets.get() as usize;
        let fits = self.hosts.len() < usize::from(NONE);
        if fits && self.serving.len() * BUCKETS_PER_HOST >= count {
            let stored = |pick: Option<usize>| pick.map_or(NONE, |index| index as u16);
            let row = |bucket| self.rank(Bucket::new(bucket)).map(stored);
            self.precomputed = Some((0..buckets.get()).map(row).collect());
        }
    }

    fn rank(&self, bucket: Bucket) -> Picks {
        let mut picks = [None; PICKS];
        for place in 0..CANDIDATES {
            let taken = picks;
            let free = |index| !taken.contains(&Some(index));
            picks[place] = self.first(bucket, &self.serving, free);
        }
        picks[CANDIDATES] = self.draining_owner(bucket, picks[0]);
        for (roster, pick) in self.earlier.iter().zip(&mut picks[CANDIDATES + 1..]) {
            *pick = self.first(bucket, roster, |_| true);
        }
        picks
    }

    /// The draining member that would own the bucket if it still took new flows.
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
        entries: &[Entry],
        admit: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let admitted = entries.iter().filter(|entry| admit(entry.host as usize));
        self.best(bucket, admitted)
    }

    fn best<'a>(&self, bucket: Bucket, entries: impl Iterator<Item = &'a Entry>) -> Option<usize> {
        let members = entries.map(|entry| (&self.hosts[entry.host as usize], entry.weight));
        let host = first(u64::from(bucket.get()), members)?;
        // `first` returns a reference into `hosts`, so its place is the index.
        self.hosts
            .iter()
            .position(|known| std::ptr::eq(known, host))
    }
}

fn entries(
    roster: &Roster,
    state: HostState,
    hosts: &mut IndexMap<HostId, SocketAddrV4>,
) -> Box<[Entry]> {
    let mut entries = Vec::new();
    for (host, member) in &roster.members {
        if member.state == state {
            let place = hosts.entry(host.clone());
            let index = place.index();
            place.or_insert(member.agent);
            entries.push(Entry {
                host: index as u32,
                weight: member.weight,
            });
        }
    }
    entries.into()
}
