use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::NodeId;

// Longer than any restart of a machine; an entry that stays costs one greeting a second.
const REMOVE: Span = Span::from_secs(60);

/// Balancers that the store lists and nobody hears, so that their entries can be removed.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    silent: IndexMap<NodeId, Time>,
}

impl Departures {
    /// Takes the list of the store and the balancers that are heard; returns the entries that `own`
    /// has to remove. Balancers that others watch are not to be in the list.
    ///
    /// Nobody removes anything while it hears nobody, and of those that hear each other the first
    /// one removes.
    ///
    /// ```
    /// use usher_forwarding::{Departures, NodeId};
    /// use usher_types::{Span, Time};
    /// let (own, other, dead) = ("10.1.0.1".parse()?, "10.1.0.2".parse()?, "10.1.0.3".parse()?);
    /// let mut departures = Departures::default();
    /// let listed = [own, other, dead];
    /// assert!(departures.observe(Time::ZERO, own, &listed, &[other]).is_empty());
    /// let later = Time::ZERO + Span::from_secs(60);
    /// assert_eq!(departures.observe(later, own, &listed, &[other]), [dead]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn observe(
        &mut self,
        now: Time,
        own: NodeId,
        listed: &[NodeId],
        present: &[NodeId],
    ) -> Vec<NodeId> {
        let gone = |node: &NodeId| *node != own && !present.contains(node);
        self.silent
            .retain(|node, _| listed.contains(node) && gone(node));
        for node in listed.iter().filter(|node| gone(node)) {
            self.silent.entry(*node).or_insert(now);
        }
        let first = !present.is_empty() && present.iter().all(|node| own < *node);
        let due = |since: &Time| first && now - *since >= REMOVE;
        let silent = self.silent.iter();
        silent
            .filter(|(_, since)| due(since))
            .map(|(node, _)| *node)
            .collect()
    }
}
