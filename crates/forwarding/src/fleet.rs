use indexmap::IndexMap;
use usher_placement::rendezvous_score;
use usher_types::{DataCentre, Span, Time};

use crate::member::{Member, SILENCE_TIMEOUT};
use crate::{ConfigurationVersion, CpuCapacity, Hello, NodeId};

mod rank;
mod standby;

// A balancer that has not been heard for this long is removed.
const REMOVE_AFTER: Span = Span::from_secs(60);
// Interval of hellos to silent balancers, which find them again when a partition heals.
const RETRY_INTERVAL: Span = Span::from_secs(1);

// Up to this many balancers, all balancers and agents exchange messages directly.
const SMALL_FLEET: usize = 8;
// Relays per agent; two, so that the loss of one leaves no gap in the reports.
const RELAY_COUNT: usize = 2;
// Balancers that send hellos to an agent; one more than the relays, so that the agent knows its
// next relay before it loses one.
const HELLO_SENDERS: usize = 3;
// Balancers of each other data centre that a balancer is linked to; two, as for relays.
const LINKS_PER_CENTRE: usize = 2;
// Silent balancers that an agent tries per round while too few relays are heard.
const PROBES_PER_ROUND: usize = 3;
// Factor on the weight of a balancer of the agent's data centre.
const LOCAL_PREFERENCE: u32 = 1_000;

/// The balancers that a process knows.
///
/// A balancer counts as heard, or present, while its hellos arrive.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: IndexMap<NodeId, Member>,
}

impl Fleet {
    /// Adds a balancer named by the store, the settings or another process.
    ///
    /// Returns `true` if it is new.
    ///
    /// ```
    /// use usher_forwarding::Fleet;
    /// use usher_types::Time;
    /// let mut fleet = Fleet::default();
    /// assert!(fleet.add(Time::ZERO, "10.1.0.10".parse()?));
    /// assert!(!fleet.add(Time::ZERO, "10.1.0.10".parse()?));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn add(&mut self, now: Time, node: NodeId) -> bool {
        let new = !self.members.contains_key(&node);
        self.members
            .entry(node)
            .or_insert_with(|| Member::unheard(now));
        new
    }

    /// Applies a hello of a balancer.
    ///
    /// Returns `true` if its process has not been heard before.
    pub fn on_hello(&mut self, now: Time, node: NodeId, hello: &Hello) -> bool {
        self.add(now, node);
        let Some(member) = self.members.get_mut(&node) else {
            return false;
        };
        let new = hello.epoch != member.epoch;
        if new && hello.epoch == member.previous_epoch {
            return false;
        }
        if new {
            member.previous_epoch = member.epoch;
            member.epoch = hello.epoch;
        }
        member.last_heard = Some(now);
        member.version = hello.version;
        member.leaving = hello.leaving;
        member.centre = Some(hello.centre.clone());
        member.capacity = hello.capacity;
        if hello.ask {
            member.last_asked = Some(now);
        }
        new
    }

    /// Whether the fleet is too large for all nodes to exchange messages directly.
    ///
    /// Balancers then exchange hellos within their data centre and with a few balancers of each
    /// other one, and agents report to a few balancers.
    pub fn is_large(&self) -> bool {
        // A balancer is not in its own `members`.
        self.members.len() >= SMALL_FLEET
    }

    /// Data centre of a balancer; `None` until it is heard.
    pub fn centre(&self, node: NodeId) -> Option<&DataCentre> {
        self.members.get(&node)?.centre.as_ref()
    }

    /// Balancers to send a hello to, and whether each is asked for hellos.
    ///
    /// In a large fleet these are those of this data centre, a few of each other one, those that
    /// ask for hellos, and those whose data centre is not known. Silent ones get one per second.
    pub fn hello_targets(
        &mut self,
        now: Time,
        own: NodeId,
        centre: &DataCentre,
    ) -> Vec<(NodeId, bool)> {
        if !self.is_large() {
            return self.due(now).into_iter().map(|node| (node, true)).collect();
        }
        let links = self.links(now, own, centre);
        let mut hello_targets = Vec::new();
        for (node, member) in &mut self.members {
            let wanted = match &member.centre {
                Some(other) => other == centre || links.contains(node),
                None => true,
            };
            let recently_sent = member
                .last_sent
                .is_some_and(|sent| now - sent < RETRY_INTERVAL);
            let asked = member
                .last_asked
                .is_some_and(|asked| now - asked <= SILENCE_TIMEOUT);
            let due = wanted && (member.is_present(now) || !recently_sent);
            if due || asked {
                member.last_sent = Some(now);
                hello_targets.push((*node, wanted));
            }
        }
        hello_targets
    }

    /// Balancers of a data centre that are heard.
    pub fn local_balancers(&self, now: Time, centre: &DataCentre) -> Vec<NodeId> {
        let balancers = self.members.iter();
        balancers
            .filter(|(_, member)| member.is_present(now) && member.is_in(centre))
            .map(|(node, _)| *node)
            .collect()
    }

    /// Whether this process detects the loss of a balancer.
    ///
    /// In a large fleet it watches those of its data centre, and those whose data centre is not
    /// known.
    pub fn watches(&self, node: NodeId, centre: &DataCentre) -> bool {
        !self.is_large() || self.centre(node).is_none_or(|other| other == centre)
    }

    /// Balancers that watch the same balancers as this one.
    ///
    /// For a balancer that is alone in its data centre, these are all that it hears.
    pub fn watchers(&self, now: Time, centre: &DataCentre) -> Vec<NodeId> {
        let local = self.local_balancers(now, centre);
        if self.is_large() && !local.is_empty() {
            local
        } else {
            self.present(now)
        }
    }

    /// The balancers of other data centres that a balancer is linked to.
    ///
    /// Prefers balancers that are heard, then those with more capacity, by weighted rendezvous
    /// hashing.
    pub fn links(&self, now: Time, own: NodeId, centre: &DataCentre) -> Vec<NodeId> {
        let mut scored: IndexMap<&DataCentre, Vec<(bool, f64, NodeId)>> = IndexMap::new();
        for (node, member) in &self.members {
            if let Some(other) = member.centre.as_ref().filter(|other| *other != centre) {
                let heard = member.is_present(now) && !member.leaving;
                let score = score(own, *node, member.capacity, false);
                scored.entry(other).or_default().push((heard, score, *node));
            }
        }
        let mut links = Vec::new();
        for mut members in scored.into_values() {
            members.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
            links.extend(
                members
                    .iter()
                    .take(LINKS_PER_CENTRE)
                    .map(|(_, _, node)| *node),
            );
        }
        links
    }

    /// Whether a balancer sends hellos to an agent that does not report to it.
    ///
    /// In a large fleet, the agent's relays and the next candidate do.
    pub fn sends_hello(
        &self,
        now: Time,
        own: (NodeId, CpuCapacity, &DataCentre),
        agent: NodeId,
        centre: &DataCentre,
    ) -> bool {
        if !self.is_large() {
            return true;
        }
        let (node, capacity, own_centre) = own;
        let present = self.members.iter();
        let present = present.filter(|(_, member)| member.is_present(now) && !member.leaving);
        if own_centre != centre && present.clone().any(|(_, member)| member.is_in(centre)) {
            return false;
        }
        let own_score = score(agent, node, capacity, own_centre == centre);
        let better = present.filter(|(node, member)| {
            score(agent, **node, member.capacity, member.is_in(centre)) > own_score
        });
        better.take(HELLO_SENDERS).count() < HELLO_SENDERS
    }

    /// Balancers to send to: those that are heard, and silent ones once per second.
    pub fn due(&mut self, now: Time) -> Vec<NodeId> {
        let mut due = Vec::new();
        for (node, member) in &mut self.members {
            let silent = member
                .last_heard
                .is_none_or(|heard| now - heard > SILENCE_TIMEOUT);
            let recently_sent = member
                .last_sent
                .is_some_and(|sent| now - sent < RETRY_INTERVAL);
            if silent && recently_sent {
                continue;
            }
            member.last_sent = Some(now);
            due.push(*node);
        }
        due
    }

    /// Balancers that are heard.
    pub fn present(&self, now: Time) -> Vec<NodeId> {
        let members = self.members.iter();
        members
            .filter(|(_, member)| member.is_present(now))
            .map(|(node, _)| *node)
            .collect()
    }

    /// Balancers that an agent reports to.
    ///
    /// In a small fleet, all; in a large one, a few chosen by weighted rendezvous hashing, which
    /// relay the reports to the others. Balancers of the agent's data centre are strongly
    /// preferred, and those about to stop are left out. While too few are heard, silent ones are
    /// tried.
    pub fn relays(&mut self, now: Time, agent: NodeId, centre: &DataCentre) -> Vec<NodeId> {
        if self.members.len() <= SMALL_FLEET {
            return self.due(now);
        }
        let mut scored: Vec<(f64, NodeId)> = Vec::new();
        for (node, member) in &self.members {
            if member.is_present(now) && !member.leaving {
                let same_centre = member.is_in(centre);
                scored.push((score(agent, *node, member.capacity, same_centre), *node));
            }
        }
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored.truncate(RELAY_COUNT);
        let mut relays: Vec<NodeId> = scored.into_iter().map(|(_, node)| node).collect();
        if relays.len() < RELAY_COUNT {
            relays.extend(self.probe(now));
        }
        relays
    }

    // Silent balancers to try, least recently tried first.
    fn probe(&mut self, now: Time) -> Vec<NodeId> {
        let silent = self.members.iter_mut();
        let mut silent: Vec<_> = silent
            .filter(|(_, member)| {
                !member.is_present(now)
                    && member
                        .last_sent
                        .is_none_or(|sent| now - sent >= RETRY_INTERVAL)
            })
            .collect();
        silent.sort_by_key(|(_, member)| member.last_sent);
        let mut tried = Vec::new();
        for (node, member) in silent.into_iter().take(PROBES_PER_ROUND) {
            member.last_sent = Some(now);
            tried.push(*node);
        }
        tried
    }

    /// Whether an agent reports to only a few balancers, which relay its reports.
    pub fn reports_to_few(&self) -> bool {
        self.members.len() > SMALL_FLEET
    }

    /// The heard balancer with the newest configuration, if newer than `version`.
    pub fn newest_peer(
        &self,
        now: Time,
        version: ConfigurationVersion,
    ) -> Option<(NodeId, ConfigurationVersion)> {
        let present = self.present(now);
        let newest = self
            .members
            .iter()
            .filter(|(node, _)| present.contains(node))
            .max_by_key(|(_, member)| member.version)?;
        (newest.1.version > version).then_some((*newest.0, newest.1.version))
    }

    /// The balancer from which the one at `local` fetches a configuration newer than `version`.
    ///
    /// Of those that are ahead, the ones of its own data centre are preferred, in proportion to their
    /// capacity; each balancer prefers another one. `avoided` is chosen only if there is no other.
    ///
    /// ```
    /// use usher_forwarding::{ConfigurationVersion, Fleet, NodeId};
    /// use usher_types::Time;
    /// let fleet = Fleet::default();
    /// let version = ConfigurationVersion::default();
    /// let centre = "kolkata".parse().unwrap();
    /// assert_eq!(fleet.source(Time::ZERO, version, NodeId::NONE, &centre, None), None);
    /// ```
    pub fn source(
        &self,
        now: Time,
        version: ConfigurationVersion,
        local: NodeId,
        centre: &DataCentre,
        avoided: Option<NodeId>,
    ) -> Option<NodeId> {
        let (_, newest) = self.newest_peer(now, version)?;
        let present = self.present(now);
        let ahead = self
            .members
            .iter()
            .filter(|(node, member)| member.version == newest && present.contains(node));
        let rank = |node: NodeId, member: &Member| {
            let same_centre = member.is_in(centre);
            score(local, node, member.capacity, same_centre)
        };
        let ranked = ahead.map(|(node, member)| {
            let allowed = Some(*node) != avoided;
            (allowed, rank(*node, member), *node)
        });
        ranked
            .max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, node)| node)
    }

    /// Removes balancers that have been silent for long, unless no balancer is heard.
    ///
    /// Returns the removed ones that were heard before.
    pub fn expire(&mut self, now: Time) -> Vec<NodeId> {
        if self.present(now).is_empty() {
            return Vec::new();
        }
        let silent =
            |member: &Member| now - member.last_heard.unwrap_or(member.added_at) > REMOVE_AFTER;
        let members = self.members.iter();
        let lost: Vec<NodeId> = members
            .filter(|(_, member)| silent(member) && member.last_heard.is_some())
            .map(|(node, _)| *node)
            .collect();
        self.members.retain(|_, member| !silent(member));
        lost
    }
}

// Weighted rendezvous score of a balancer for an agent; the highest is preferred.
fn score(agent: NodeId, balancer: NodeId, capacity: CpuCapacity, same_centre: bool) -> f64 {
    let key = u64::from(u32::from(agent.address()));
    let preference = if same_centre { LOCAL_PREFERENCE } else { 1 };
    let weight = capacity.millicores().saturating_mul(preference);
    rendezvous_score(key, &balancer.address().octets(), weight)
}
