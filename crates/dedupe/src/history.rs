use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{HostId, PastRoster, RequestKey, Roster, Span, Time, Version};

use crate::event::Lineage;
use crate::limits::{FOLD_AFTER, LEASE, longer, shorter};
use crate::origin::Origin;
use crate::ownership::{Agent, activation_quorum, is_member, owner_of};
use crate::transfer::{Cover, Transfer};

/// Whether earlier owners of a key can still grant it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Some can, until the given time if it is known.
    Unsettled(Option<Time>),
    /// None can since this time; `None` when all their grants are known.
    Since(Option<Time>),
}

#[derive(Debug)]
struct Earlier {
    roster: Arc<Roster>,
    stopped: Option<Time>,
}

/// The adopted roster, earlier ones that still matter, and what is known of their owners.
#[derive(Debug)]
pub(crate) struct History {
    agent: Agent,
    origin: Origin,
    current: Option<Arc<Roster>>,
    // Newest first.
    earlier: Vec<Earlier>,
    // All rosters up to this version had stopped at `floor`.
    folded: Version,
    floor: Option<Time>,
    complete: bool,
    adopted: IndexMap<HostId, Version>,
    covers: Vec<Cover>,
}

impl History {
    pub(crate) fn new(agent: Agent, origin: Origin) -> Self {
        Self {
            agent,
            origin,
            current: None,
            earlier: Vec::new(),
            folded: Version::default(),
            floor: None,
            complete: false,
            adopted: IndexMap::new(),
            covers: Vec::new(),
        }
    }

    pub(crate) fn current(&self) -> Option<&Arc<Roster>> {
        self.current.as_ref()
    }

    pub(crate) fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version::default(), |roster| roster.version)
    }

    /// Takes over a lineage; returns whether its roster is newly adopted.
    pub(crate) fn adopt(&mut self, now: Time, lineage: Lineage) -> bool {
        let version = lineage.roster.version;
        if self.current.is_some() && version < self.version() {
            return false;
        }
        let newly = self
            .current
            .as_ref()
            .is_none_or(|roster| roster.version < version);
        self.link(now, newly, &lineage);
        if newly && let Some(previous) = self.current.replace(lineage.roster) {
            self.remember(previous);
        }
        for roster in lineage.earlier {
            self.remember(roster);
        }
        self.observe(now);
        newly
    }

    /// Notes that a member has adopted a version.
    pub(crate) fn adopted(&mut self, now: Time, host: HostId, version: Version) {
        let known = self.adopted.entry(host).or_default();
        if *known < version {
            *known = version;
            self.observe(now);
        }
    }

    /// Counts all rosters up to a version as stopped by now.
    pub(crate) fn confirm(&mut self, now: Time, version: Version) {
        let gone = |earlier: &&mut Earlier| earlier.roster.version <= version;
        for earlier in self.earlier.iter_mut().filter(gone) {
            earlier.stopped.get_or_insert(now + longer(LEASE));
        }
    }

    /// Notes what a transfer covers; false when it is ahead of the adopted roster.
    pub(crate) fn receive(&mut self, now: Time, transfer: &Transfer) -> bool {
        if transfer.roster > self.version() {
            return false;
        }
        for cover in &transfer.covers {
            if cover.roster > self.folded {
                self.note_cover(cover);
            }
        }
        // A folded roster counts only in the own floor, which must then stay.
        for past in &transfer.rosters {
            self.remember(Arc::new(past.to_roster()));
        }
        self.observe(now);
        let known = |past: &PastRoster| self.roster(past.version).is_some();
        if self.complete && transfer.rosters.iter().all(known) {
            let floor = transfer.since.map(|span| now - shorter(span));
            self.floor = self.floor.min(floor);
        }
        true
    }

    /// What a transfer to `to` under the current roster may state, without its records.
    pub(crate) fn transfer(&self, now: Time, to: Agent) -> Transfer {
        let step = (self.version(), to.clone());
        let own = self
            .own_rosters()
            .filter(|roster| self.may_pass(roster, &to));
        let own = own.map(|roster| Cover {
            roster: roster.version,
            owner: self.agent.clone(),
            path: vec![step.clone()],
        });
        let passed = self.covers.iter().filter(|cover| {
            let received = cover.path.last().and_then(|last| self.roster(last.0));
            received.is_none_or(|roster| self.may_pass(roster, &to))
        });
        let passed = passed.cloned().map(|mut cover| {
            cover.path.push(step.clone());
            cover
        });
        let covers = own.chain(passed).collect();
        Transfer {
            from: self.agent.clone(),
            to,
            roster: self.version(),
            covers,
            rosters: self.earlier.iter().map(|e| past(&e.roster)).collect(),
            since: self.vouched(now),
            records: Vec::new(),
        }
    }

    // Keeps the covers with the fewest conditions: without this, every roster change multiplies
    // them by the number of members, and a rolling restart of 7 hosts does not end.
    fn note_cover(&mut self, cover: &Cover) {
        let is_same = |other: &Cover| other.roster == cover.roster && other.owner == cover.owner;
        let implies = |few: &Cover, many: &Cover| few.path.iter().all(|s| many.path.contains(s));
        let mut known = self.covers.iter().filter(|other| is_same(other));
        if known.any(|other| implies(other, cover)) {
            return;
        }
        self.covers
            .retain(|other| !is_same(other) || !implies(cover, other));
        self.covers.push(cover.clone());
    }

    /// Whether keys may have moved from this agent to another member since an earlier roster.
    pub(crate) fn may_gain(&self, member: &Agent) -> bool {
        let mut own = self.own_rosters();
        own.any(|roster| self.may_pass(roster, member))
    }

    // A key moves only from an agent that left or to one that joined.
    fn may_pass(&self, since: &Roster, to: &Agent) -> bool {
        let current = self.current.as_ref();
        let left = !current.is_some_and(|roster| is_member(roster, &self.agent));
        left || !is_member(since, to)
    }

    pub(crate) fn standing(&self, now: Time, key: RequestKey) -> Standing {
        if !self.complete {
            return Standing::Unsettled(None);
        }
        let mut since = self.floor;
        for earlier in &self.earlier {
            let Some(owner) = owner_of(&earlier.roster, key) else {
                continue;
            };
            if owner == self.agent || self.covered(earlier.roster.version, &owner, key) {
                continue;
            }
            match earlier.stopped {
                Some(stopped) if stopped <= now => since = since.max(Some(stopped)),
                pending => return Standing::Unsettled(pending),
            }
        }
        Standing::Since(since)
    }

    /// Earlier rosters that may have an active owner.
    pub(crate) fn unsettled(&self, now: Time) -> impl Iterator<Item = Version> + '_ {
        let active = move |e: &&Earlier| e.stopped.is_none_or(|stopped| stopped > now);
        self.earlier.iter().filter(active).map(|e| e.roster.version)
    }

    pub(crate) fn next_fold(&self) -> Option<Time> {
        let oldest = self.earlier.last().filter(|_| self.complete)?;
        oldest.stopped.map(|stopped| stopped + FOLD_AFTER)
    }

    /// Forgets the oldest rosters that stopped long ago.
    pub(crate) fn fold(&mut self, now: Time) {
        while self.next_fold().is_some_and(|due| due <= now) {
            if let Some(oldest) = self.earlier.pop() {
                self.folded = oldest.roster.version;
                self.floor = self.floor.max(oldest.stopped);
            }
        }
        let folded = self.folded;
        self.covers.retain(|cover| cover.roster > folded);
    }

    // A process that skipped rosters does not know when they stopped, only that those missing
    // from a complete lineage have. A transfer from a member that saw them moves the floor back.
    fn link(&mut self, now: Time, newly: bool, lineage: &Lineage) {
        let newest = lineage.earlier.iter().map(|roster| roster.version).max();
        let linked = match &self.current {
            None => newest.is_none() && self.origin == Origin::Created,
            Some(current) if newly => self.complete && newest == Some(current.version),
            Some(_) => self.complete,
        };
        let complete = linked || (lineage.complete && newest.is_some());
        if complete && !linked {
            self.floor = self.floor.max(Some(now));
        }
        self.complete = complete;
    }

    fn remember(&mut self, roster: Arc<Roster>) {
        let version = roster.version;
        if version <= self.folded || version >= self.version() || self.roster(version).is_some() {
            return;
        }
        let place = self.earlier.partition_point(|e| e.roster.version > version);
        let stopped = None;
        self.earlier.insert(place, Earlier { roster, stopped });
    }

    fn observe(&mut self, now: Time) {
        let current = self.version();
        let adopted = &self.adopted;
        let own = &self.agent.host;
        let moved = |host: &HostId, version: Version| {
            host == own && current > version || adopted.get(host).is_some_and(|v| *v > version)
        };
        for earlier in &mut self.earlier {
            let version = earlier.roster.version;
            let members = &earlier.roster.members;
            let count = members.keys().filter(|host| moved(host, version)).count();
            if count >= activation_quorum(members.len()) {
                earlier.stopped.get_or_insert(now + longer(LEASE));
            }
        }
    }

    fn covered(&self, version: Version, owner: &Agent, key: RequestKey) -> bool {
        let passed = |(version, agent): &(Version, Agent)| {
            let roster = self.roster(*version);
            roster.is_some_and(|r| owner_of(r, key).as_ref() == Some(agent))
        };
        let mut covers = self.covers.iter();
        covers.any(|c| c.roster == version && c.owner == *owner && c.path.iter().all(passed))
    }

    fn vouched(&self, now: Time) -> Option<Span> {
        if self.complete {
            self.floor.map(|floor| now - floor)
        } else {
            Some(Span::ZERO)
        }
    }

    fn own_rosters(&self) -> impl Iterator<Item = &Arc<Roster>> {
        let rosters = self.earlier.iter().map(|e| &e.roster);
        rosters.filter(|roster| is_member(roster, &self.agent))
    }

    fn roster(&self, version: Version) -> Option<&Arc<Roster>> {
        let earlier = self.earlier.iter().map(|e| &e.roster);
        let mut all = self.current.iter().chain(earlier);
        all.find(|roster| roster.version == version)
    }
}

fn past(roster: &Roster) -> PastRoster {
    PastRoster {
        version: roster.version,
        members: roster.members.clone(),
    }
}
