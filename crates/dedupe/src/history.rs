use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{HostId, PastRoster, RequestKey, Roster, Span, Time, Version};

use crate::event::RosterHistory;
use crate::limits::{LEASE, STOPPED_RETENTION, lower_bound, upper_bound};
use crate::origin::Origin;
use crate::ownership::{Agent, activation_quorum, is_member, owner_of};
use crate::transfer::{Coverage, Transfer};

/// Whether owners of a key under earlier rosters can still grant it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Predecessors {
    /// Some owner still can, until the given time if it is known.
    Unsettled(Option<Time>),
    /// No owner can since the given time; `None` when all their grants are known.
    Stopped(Option<Time>),
}

#[derive(Debug)]
struct EarlierRoster {
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
    earlier: Vec<EarlierRoster>,
    // All rosters up to this version have been removed from `earlier`.
    pruned: Version,
    // When all rosters missing from `earlier` had stopped; `None` if there were none.
    older_stopped: Option<Time>,
    // All unsettled rosters are in `earlier`.
    complete: bool,
    adopted: IndexMap<HostId, Version>,
    coverage: Vec<Coverage>,
}

impl History {
    pub(crate) fn new(agent: Agent, origin: Origin) -> Self {
        Self {
            agent,
            origin,
            current: None,
            earlier: Vec::new(),
            pruned: Version::default(),
            older_stopped: None,
            complete: false,
            adopted: IndexMap::new(),
            coverage: Vec::new(),
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

    /// Adopts a roster and its predecessors; returns whether the roster is newer than the current one.
    pub(crate) fn adopt(&mut self, now: Time, roster_history: RosterHistory) -> bool {
        let version = roster_history.roster.version;
        if self.current.is_some() && version < self.version() {
            return false;
        }
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|roster| roster.version < version);
        self.update_complete(now, is_newer, &roster_history);
        if is_newer && let Some(previous) = self.current.replace(roster_history.roster) {
            self.insert_earlier(previous);
        }
        for roster in roster_history.earlier {
            self.insert_earlier(roster);
        }
        self.mark_stopped(now);
        is_newer
    }

    /// Records that a member has adopted a version.
    pub(crate) fn adopted(&mut self, now: Time, host: HostId, version: Version) {
        let known = self.adopted.entry(host).or_default();
        if *known < version {
            *known = version;
            self.mark_stopped(now);
        }
    }

    /// Treats all rosters up to a version as stopped after the length of a lease.
    pub(crate) fn confirm(&mut self, now: Time, version: Version) {
        let is_confirmed = |earlier: &&mut EarlierRoster| earlier.roster.version <= version;
        for earlier in self.earlier.iter_mut().filter(is_confirmed) {
            earlier.stopped.get_or_insert(now + upper_bound(LEASE));
        }
    }

    /// Records what a transfer covers; false when its roster is newer than the adopted one.
    pub(crate) fn receive(&mut self, now: Time, transfer: &Transfer) -> bool {
        if transfer.roster > self.version() {
            return false;
        }
        for coverage_entry in &transfer.coverage {
            if coverage_entry.roster > self.pruned {
                self.add_coverage(coverage_entry);
            }
        }
        // A pruned roster is not inserted again. Only `older_stopped` accounts for it, so
        // `older_stopped` must then not be lowered.
        for past in &transfer.rosters {
            self.insert_earlier(Arc::new(past.to_roster()));
        }
        self.mark_stopped(now);
        let known = |past: &PastRoster| self.roster(past.version).is_some();
        if self.complete && transfer.rosters.iter().all(known) {
            let older_stopped = transfer.since.map(|span| now - lower_bound(span));
            self.older_stopped = self.older_stopped.min(older_stopped);
        }
        true
    }

    /// Creates a transfer to `to` under the current roster, without records.
    pub(crate) fn transfer(&self, now: Time, to: Agent) -> Transfer {
        let step = (self.version(), to.clone());
        let own = self
            .own_rosters()
            .filter(|roster| self.may_have_moved(roster, &to));
        let own = own.map(|roster| Coverage {
            roster: roster.version,
            owner: self.agent.clone(),
            path: vec![step.clone()],
        });
        let passed = self.coverage.iter().filter(|coverage_entry| {
            let received = coverage_entry
                .path
                .last()
                .and_then(|last| self.roster(last.0));
            received.is_none_or(|roster| self.may_have_moved(roster, &to))
        });
        let passed = passed.cloned().map(|mut coverage_entry| {
            coverage_entry.path.push(step.clone());
            coverage_entry
        });
        let coverage = own.chain(passed).collect();
        Transfer {
            from: self.agent.clone(),
            to,
            roster: self.version(),
            coverage,
            rosters: self.earlier.iter().map(|e| past(&e.roster)).collect(),
            since: self.older_stop_age(now),
            records: Vec::new(),
        }
    }

    // Drops a coverage entry whose conditions include all those of another one. Otherwise every
    // roster change multiplies the entries by the number of members, and a rolling restart of 7
    // hosts does not end.
    fn add_coverage(&mut self, coverage_entry: &Coverage) {
        let is_same = |other: &Coverage| {
            other.roster == coverage_entry.roster && other.owner == coverage_entry.owner
        };
        let implies =
            |few: &Coverage, many: &Coverage| few.path.iter().all(|s| many.path.contains(s));
        let mut known = self.coverage.iter().filter(|other| is_same(other));
        if known.any(|other| implies(other, coverage_entry)) {
            return;
        }
        self.coverage
            .retain(|other| !is_same(other) || !implies(coverage_entry, other));
        self.coverage.push(coverage_entry.clone());
    }

    /// Whether keys may have moved from this agent to another member since an earlier roster.
    pub(crate) fn may_gain(&self, member: &Agent) -> bool {
        let mut own = self.own_rosters();
        own.any(|roster| self.may_have_moved(roster, member))
    }

    // A key moves only from an agent that left or to one that joined.
    fn may_have_moved(&self, since: &Roster, to: &Agent) -> bool {
        let current = self.current.as_ref();
        let left = !current.is_some_and(|roster| is_member(roster, &self.agent));
        left || !is_member(since, to)
    }

    pub(crate) fn predecessors(&self, now: Time, key: RequestKey) -> Predecessors {
        if !self.complete {
            return Predecessors::Unsettled(None);
        }
        let mut since = self.older_stopped;
        for earlier in &self.earlier {
            let Some(owner) = owner_of(&earlier.roster, key) else {
                continue;
            };
            if owner == self.agent || self.covered(earlier.roster.version, &owner, key) {
                continue;
            }
            match earlier.stopped {
                Some(stopped) if stopped <= now => since = since.max(Some(stopped)),
                pending => return Predecessors::Unsettled(pending),
            }
        }
        Predecessors::Stopped(since)
    }

    /// Earlier rosters whose owners may still grant keys.
    pub(crate) fn unsettled(&self, now: Time) -> impl Iterator<Item = Version> + '_ {
        let active = move |e: &&EarlierRoster| e.stopped.is_none_or(|stopped| stopped > now);
        self.earlier.iter().filter(active).map(|e| e.roster.version)
    }

    pub(crate) fn next_prune(&self) -> Option<Time> {
        let oldest = self.earlier.last().filter(|_| self.complete)?;
        oldest.stopped.map(|stopped| stopped + STOPPED_RETENTION)
    }

    /// Removes the oldest rosters once they have been stopped for `STOPPED_RETENTION`.
    pub(crate) fn prune(&mut self, now: Time) {
        while self.next_prune().is_some_and(|due| due <= now) {
            if let Some(oldest) = self.earlier.pop() {
                self.pruned = oldest.roster.version;
                self.older_stopped = self.older_stopped.max(oldest.stopped);
            }
        }
        let pruned = self.pruned;
        self.coverage
            .retain(|coverage_entry| coverage_entry.roster > pruned);
    }

    // A process that skipped rosters knows only that those missing from a complete roster history
    // have stopped by now, not when. A transfer from a member that saw them supplies the earlier
    // time.
    fn update_complete(&mut self, now: Time, is_newer: bool, roster_history: &RosterHistory) {
        let newest = roster_history
            .earlier
            .iter()
            .map(|roster| roster.version)
            .max();
        let linked = match &self.current {
            None => newest.is_none() && self.origin == Origin::Created,
            Some(current) if is_newer => self.complete && newest == Some(current.version),
            Some(_) => self.complete,
        };
        let complete = linked || (roster_history.complete && newest.is_some());
        if complete && !linked {
            self.older_stopped = self.older_stopped.max(Some(now));
        }
        self.complete = complete;
    }

    fn insert_earlier(&mut self, roster: Arc<Roster>) {
        let version = roster.version;
        if version <= self.pruned || version >= self.version() || self.roster(version).is_some() {
            return;
        }
        let place = self.earlier.partition_point(|e| e.roster.version > version);
        let stopped = None;
        self.earlier
            .insert(place, EarlierRoster { roster, stopped });
    }

    fn mark_stopped(&mut self, now: Time) {
        let current = self.version();
        let adopted = &self.adopted;
        let own = &self.agent.host;
        let adopted_newer = |host: &HostId, version: Version| {
            host == own && current > version || adopted.get(host).is_some_and(|v| *v > version)
        };
        for earlier in &mut self.earlier {
            let version = earlier.roster.version;
            let members = &earlier.roster.members;
            let count = members
                .keys()
                .filter(|host| adopted_newer(host, version))
                .count();
            if count >= activation_quorum(members.len()) {
                earlier.stopped.get_or_insert(now + upper_bound(LEASE));
            }
        }
    }

    fn covered(&self, version: Version, owner: &Agent, key: RequestKey) -> bool {
        let passed = |(version, agent): &(Version, Agent)| {
            let roster = self.roster(*version);
            roster.is_some_and(|r| owner_of(r, key).as_ref() == Some(agent))
        };
        let mut coverage = self.coverage.iter();
        coverage.any(|c| c.roster == version && c.owner == *owner && c.path.iter().all(passed))
    }

    fn older_stop_age(&self, now: Time) -> Option<Span> {
        if self.complete {
            self.older_stopped.map(|older_stopped| now - older_stopped)
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
