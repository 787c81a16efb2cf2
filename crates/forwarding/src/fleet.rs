use indexmap::IndexMap;
use usher_placement::rendezvous;
use usher_types::{DataCentre, Span, Time, Version};

use crate::{Hello, NodeId, Strength};

// A balancer greets every 300 ms; after three missing greetings it is treated as silent.
const SILENT: Span = Span::from_secs(1);
// A node that was never heard, or not for this long, is forgotten.
const FORGET: Span = Span::from_secs(60);
// Nodes that are silent are greeted at this pace, to find them when a partition heals.
const RETRY: Span = Span::from_secs(1);

// Up to this many balancers hear every agent directly.
const SMALL: usize = 8;
// Two, so that the death of one leaves no gap.
const RELAYS: usize = 2;
// Factor by which a relay of the own data centre is preferred.
const NEAR: u32 = 1_000;
// A balancer stands by if another one of its data centre is this many times as strong: it would
// be the first to drop packets at an even share.
const WEAK: u32 = 4;

/// The balancers that a process knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: IndexMap<NodeId, Member>,
}

#[derive(Debug, Clone)]
struct Member {
    learned: Time,
    heard: Option<Time>,
    sent: Option<Time>,
    epoch: u64,
    former: u64,
    version: Version,
    leaving: bool,
    centre: Option<DataCentre>,
    strength: Strength,
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
        self.members.entry(node).or_insert(Member {
            learned: now,
            heard: None,
            sent: None,
            epoch: 0,
            former: 0,
            version: Version::default(),
            leaving: false,
            centre: None,
            strength: Strength::default(),
        });
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
        new
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
        let present = |member: &Member| member.heard.is_some_and(|heard| now - heard <= SILENT);
        let members = self.members.iter();
        members
            .filter(|(_, member)| present(member))
            .map(|(node, _)| *node)
            .collect()
    }

    /// Balancers that an agent reports to. All of a small fleet; a few of a large one, by weighted
    /// rendezvous hashing, which relay the reports to the others. Nearly all weight is with the
    /// agent's own data centre, and none with balancers that are about to stop.
    pub fn relays(&mut self, now: Time, agent: NodeId, centre: &DataCentre) -> Vec<NodeId> {
        let present = self.present(now);
        if present.len() <= SMALL {
            return self.due(now);
        }
        let mut scored: Vec<(f64, NodeId)> = Vec::new();
        for (node, member) in &self.members {
            if present.contains(node) && !member.leaving {
                let near = member.centre.as_ref() == Some(centre);
                scored.push((score(agent, *node, member.strength, near), *node));
            }
        }
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored.truncate(RELAYS);
        scored.into_iter().map(|(_, node)| node).collect()
    }

    /// Whether a balancer has to relay the reports that it gets.
    pub fn is_relayed(&self, now: Time) -> bool {
        // The balancer itself is not among the members.
        self.present(now).len() >= SMALL
    }

    /// Whether a weak balancer leaves the traffic to the stronger ones of its data centre.
    ///
    /// The platform spreads flows evenly over the balancers in rotation and uses all of a data
    /// centre when fewer than half are, so half of them stay.
    pub fn stands_by(
        &self,
        now: Time,
        own: NodeId,
        strength: Strength,
        centre: &DataCentre,
    ) -> bool {
        let present = self.present(now);
        let near = self
            .members
            .iter()
            .filter(|(_, member)| member.centre.as_ref() == Some(centre));
        let mut known = 1;
        let mut stronger = 0;
        let mut strongest = strength;
        for (node, member) in near {
            known += 1;
            if !present.contains(node) || member.leaving {
                continue;
            }
            strongest = strongest.max(member.strength);
            let before = (member.strength, own) > (strength, *node);
            stronger += u32::from(before);
        }
        let needed = u32::div_ceil(known, 2);
        let weak = strength.millicores() * WEAK < strongest.millicores();
        weak && stronger >= needed
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

    /// Forgets balancers that have been silent for long, unless nobody is heard.
    pub fn expire(&mut self, now: Time) -> Vec<NodeId> {
        if self.present(now).is_empty() {
            return Vec::new();
        }
        let silent = |member: &Member| now - member.heard.unwrap_or(member.learned) > FORGET;
        let members = self.members.iter();
        let gone: Vec<NodeId> = members
            .filter(|(_, member)| silent(member))
            .map(|(node, _)| *node)
            .collect();
        self.members.retain(|node, _| !gone.contains(node));
        gone
    }
}

fn score(agent: NodeId, balancer: NodeId, strength: Strength, near: bool) -> f64 {
    let key = u64::from(u32::from(agent.address()));
    let preference = if near { NEAR } else { 1 };
    let weight = strength.millicores().saturating_mul(preference);
    rendezvous(key, &balancer.address().octets(), weight)
}
