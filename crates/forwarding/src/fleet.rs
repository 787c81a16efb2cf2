use indexmap::IndexMap;
use usher_types::{Span, Time, Version};

use crate::{Hello, NodeId};

// A balancer greets every 300 ms; after three missing greetings it is treated as silent.
const SILENT: Span = Span::from_secs(1);
// A node that was never heard, or not for this long, is forgotten.
const FORGET: Span = Span::from_secs(60);
// Nodes that are silent are greeted at this pace, to find them when a partition heals.
const RETRY: Span = Span::from_secs(1);

/// The balancers that a process knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: IndexMap<NodeId, Member>,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    learned: Time,
    heard: Option<Time>,
    sent: Option<Time>,
    epoch: u64,
    former: u64,
    version: Version,
    leaving: bool,
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
