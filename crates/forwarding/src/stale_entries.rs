use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::NodeId;

// Longer than any restart of a machine. Until then, a stale entry costs one hello per second.
const REMOVE_AFTER: Span = Span::from_secs(60);

/// Tracks silent balancers that the store lists, to remove their entries.
#[derive(Debug, Clone, Default)]
pub struct StaleEntries {
    silent: IndexMap<NodeId, Time>,
}

impl StaleEntries {
    /// Returns the store entries that the balancer `own` has to remove.
    ///
    /// `listed` are the entries of the store without the balancers that others watch, and `present`
    /// the balancers that are heard. A balancer that hears no other one removes nothing. Of those
    /// that hear each other, the one with the lowest address removes the entries.
    ///
    /// ```
    /// use usher_forwarding::{StaleEntries, NodeId};
    /// use usher_types::{Span, Time};
    /// let (own, other, stopped) = ("10.1.0.1".parse()?, "10.1.0.2".parse()?, "10.1.0.3".parse()?);
    /// let mut stale_entries = StaleEntries::default();
    /// let listed = [own, other, stopped];
    /// assert!(stale_entries.observe(Time::ZERO, own, &listed, &[other]).is_empty());
    /// let later = Time::ZERO + Span::from_secs(60);
    /// assert_eq!(stale_entries.observe(later, own, &listed, &[other]), [stopped]);
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
        let due = |since: &Time| first && now - *since >= REMOVE_AFTER;
        let silent = self.silent.iter();
        silent
            .filter(|(_, since)| due(since))
            .map(|(node, _)| *node)
            .collect()
    }
}
