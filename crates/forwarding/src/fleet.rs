use indexmap::IndexMap;
use usher_placement::rendezvous;
use usher_types::{DataCentre, Span, Time, Version};

use crate::member::{Member, SILENT};
use crate::{Hello, NodeId, Strength};

mod standby;

// A node that was never heard, or not for this long, is forgotten.
const FORGET: Span = Span::from_secs(60);
// Nodes that are silent are greeted at this pace, to find them when a partition heals.
const RETRY: Span = Span::from_secs(1);

// Up to this many other balancers, each hears every agent and every balancer directly.
const SMALL: usize = 8;
// Two, so that the death of one leaves no gap.
const RELAYS: usize = 2;
// One more than the relays, so that an agent knows its next relay before it loses one.
const GREETERS: usize = 3;
// Balancers of each other data centre to which a balancer is linked; two, as for relays.
const LINKS: usize = 2;
// Balancers that an agent tries in one round while it hears fewer than its relays.
const PROBES: usize = 3;
// Factor by which a relay of the own data centre is preferred.
const NEAR: u32 = 1_000;

/// The balancers that a process knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: IndexMap<NodeId, Member>,
}

impl Fleet {
    /// Learns of a balancer that was named by the store, the settings or another process;
    /// `true` if it is new.
    ///
    /// ```
    /// use usher_forwarding::Fleet;
    /// use usher_types::Time;
    /// let mut fleet = Fleet::default();
    /// assert!(fleet.learn(Time::ZERO, "10.1.0.10".parse()?));
    /// assert!(!fleet.learn(Time::ZERO, "10.1.0.10".parse()?));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn learn(&mut self, now: Time, node: NodeId) -> bool {
        let new = !self.members.contains_key(&node);
        self.members
            .entry(node)
            .or_insert_with(|| Member::named(now));
        new
    }

    /// Takes a balancer's greeting; `true` if its process has not been heard before.
    pub fn hear(&mut self, now: Time, node: NodeId, hello: &Hello) -> bool {
        self.learn(now, node);
        let Some(member) = self.members.get_mut(&node) else {
            return false;
        };
        let new = hello.epoch != member.epoch;
        if new && hello.epoch == member.former {
            return false;
        }
        if new {
            member.former = member.epoch;
            member.epoch = hello.epoch;
        }
        member.heard = Some(now);
        member.version = hello.version;
        member.leaving = hello.leaving;
        member.centre = Some(hello.centre.clone());
        member.strength = hello.strength;
        if hello.ask {
            member.asked = Some(now);
        }
        new
    }

    /// Whether the fleet is too large for everybody to hear everybody. Balancers then hear those of
    /// their data centre and a few of each other one, and agents report to a few.
    pub fn is_large(&self) -> bool {
        // A balancer is not among its members.
        self.members.len() >= SMALL
    }

    /// Data centre of a balancer, once it was heard.
    pub fn centre(&self, node: NodeId) -> Option<&DataCentre> {
        self.members.get(&node)?.centre.as_ref()
    }

    /// Balancers that a balancer greets at `now`, and whether it asks each to greet it as well.
    ///
    /// In a large fleet these are those of its own data centre, a few of each other one, those
    /// that ask for it, and now and then those whose data centre is not known.
    pub fn greeted(&mut self, now: Time, own: NodeId, centre: &DataCentre) -> Vec<(NodeId, bool)> {
        if !self.is_large() {
            return self.due(now).into_iter().map(|node| (node, true)).collect();
        }
        let links = self.links(now, own, centre);
        let mut greeted = Vec::new();
        for (node, member) in &mut self.members {
            let wanted = match &member.centre {
                Some(other) => other == centre || links.contains(node),
                None => true,
            };
            let waits = member.sent.is_some_and(|sent| now - sent < RETRY);
            let asked = member.asked.is_some_and(|asked| now - asked <= SILENT);
            let due = wanted && (member.is_present(now) || !waits);
            if due || asked {
                member.sent = Some(now);
                greeted.push((*node, wanted));
            }
        }
        greeted
    }

    /// Balancers of the own data centre that are heard.
    pub fn near(&self, now: Time, centre: &DataCentre) -> Vec<NodeId> {
        let near = self.members.iter();
        near.filter(|(_, member)| member.is_present(now) && member.is_in(centre))
            .map(|(node, _)| *node)
            .collect()
    }

    /// Whether this process watches a balancer: it notices when the balancer is gone. In a large
    /// fleet balancers are watched in their own data centre.
    pub fn watches(&self, node: NodeId, centre: &DataCentre) -> bool {
        !self.is_large() || self.centre(node).is_none_or(|other| other == centre)
    }

    /// The balancers with which the watch is shared. One that is alone in its data centre shares it
    /// with those that it hears elsewhere.
    pub fn watchers(&self, now: Time, centre: &DataCentre) -> Vec<NodeId> {
        let near = self.near(now, centre);
        if self.is_large() && !near.is_empty() {
            near
        } else {
            self.present(now)
        }
    }

    /// The balancers of other data centres to which a balancer is linked, preferably such as are
    /// heard; the strong ones more often.
    pub fn links(&self, now: Time, own: NodeId, centre: &DataCentre) -> Vec<NodeId> {
        let mut scored: IndexMap<&DataCentre, Vec<(bool, f64, NodeId)>> = IndexMap::new();
        for (node, member) in &self.members {
            if let Some(other) = member.centre.as_ref().filter(|other| *other != centre) {
                let heard = member.is_present(now) && !member.leaving;
                let score = score(own, *node, member.strength, false);
                scored.entry(other).or_default().push((heard, score, *node));
            }
        }
        let mut links = Vec::new();
        for mut members in scored.into_values() {
            members.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
            links.extend(members.iter().take(LINKS).map(|(_, _, node)| *node));
        }
        links
    }

    /// Whether a balancer is among those that greet an agent which has not reported to it. In a
    /// large fleet these are the agent's relays and the next one.
    pub fn greets(
        &self,
        now: Time,
        own: (NodeId, Strength, &DataCentre),
        agent: NodeId,
        centre: &DataCentre,
    ) -> bool {
        if !self.is_large() {
            return true;
        }
        let (node, strength, own_centre) = own;
        let present = self.members.iter();
        let present = present.filter(|(_, member)| member.is_present(now) && !member.leaving);
        if own_centre != centre && present.clone().any(|(_, member)| member.is_in(centre)) {
            return false;
        }
        let own_score = score(agent, node, strength, own_centre == centre);
        let better = present.filter(|(node, member)| {
            score(agent, **node, member.strength, member.is_in(centre)) > own_score
        });
        better.take(GREETERS).count() < GREETERS
    }

    /// Balancers that are sent to at `now`: those that are heard, and now and then the others.
    pub fn due(&mut self, now: Time) -> Vec<NodeId> {
        let mut due = Vec::new();
        for (node, member) in &mut self.members {
            let silent = member.heard.is_none_or(|heard| now - heard > SILENT);
            let waits = member.sent.is_some_and(|sent| now - sent < RETRY);
            if silent && waits {
                continue;
            }
            member.sent = Some(now);
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

    /// Balancers that an agent reports to. All of a small fleet; a few of a large one, by weighted
    /// rendezvous hashing, which relay the reports to the others. Nearly all weight is with the
    /// agent's own data centre, and none with balancers that are about to stop. While too few are
    /// heard, others are tried.
    pub fn relays(&mut self, now: Time, agent: NodeId, centre: &DataCentre) -> Vec<NodeId> {
        if self.members.len() <= SMALL {
            return self.due(now);
        }
        let mut scored: Vec<(f64, NodeId)> = Vec::new();
        for (node, member) in &self.members {
            if member.is_present(now) && !member.leaving {
                let near = member.is_in(centre);
                scored.push((score(agent, *node, member.strength, near), *node));
            }
        }
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored.truncate(RELAYS);
        let mut relays: Vec<NodeId> = scored.into_iter().map(|(_, node)| node).collect();
        if relays.len() < RELAYS {
            relays.extend(self.probe(now));
        }
        relays
    }

    // Silent balancers to try, those first that were tried the longest time ago.
    fn probe(&mut self, now: Time) -> Vec<NodeId> {
        let silent = self.members.iter_mut();
        let mut silent: Vec<_> = silent
            .filter(|(_, member)| {
                !member.is_present(now) && member.sent.is_none_or(|sent| now - sent >= RETRY)
            })
            .collect();
        silent.sort_by_key(|(_, member)| member.sent);
        let mut tried = Vec::new();
        for (node, member) in silent.into_iter().take(PROBES) {
            member.sent = Some(now);
            tried.push(*node);
        }
        tried
    }

    /// Whether an agent's reports have to be relayed, since it sends them to few balancers.
    pub fn reports_to_few(&self) -> bool {
        self.members.len() > SMALL
    }

    /// The balancer with the newest configuration that is heard, if newer than `version`.
    pub fn ahead(&self, now: Time, version: Version) -> Option<(NodeId, Version)> {
        let present = self.present(now);
        let newest = self
            .members
            .iter()
            .filter(|(node, _)| present.contains(node))
            .max_by_key(|(_, member)| member.version)?;
        (newest.1.version > version).then_some((*newest.0, newest.1.version))
    }

    /// Forgets balancers that have been silent for long, unless nobody is heard; returns those
    /// that were heard before.
    pub fn expire(&mut self, now: Time) -> Vec<NodeId> {
        if self.present(now).is_empty() {
            return Vec::new();
        }
        let silent = |member: &Member| now - member.heard.unwrap_or(member.learned) > FORGET;
        let members = self.members.iter();
        let lost: Vec<NodeId> = members
            .filter(|(_, member)| silent(member) && member.heard.is_some())
            .map(|(node, _)| *node)
            .collect();
        self.members.retain(|_, member| !silent(member));
        lost
    }
}

fn score(agent: NodeId, balancer: NodeId, strength: Strength, near: bool) -> f64 {
    let key = u64::from(u32::from(agent.address()));
    let preference = if near { NEAR } else { 1 };
    let weight = strength.millicores().saturating_mul(preference);
    rendezvous(key, &balancer.address().octets(), weight)
}
