use usher_forwarding::NodeId;
use usher_types::Version;

use super::store::Listed;

/// The balancers that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BalancerList {
    /// Version of the store as of which the list is complete.
    pub(crate) version: Version,
    pub(crate) entries: Vec<Listed>,
    /// Whether a balancer that is not among the entries is not registered.
    pub(crate) complete: bool,
}

impl BalancerList {
    pub(crate) fn contains(&self, node: NodeId) -> bool {
        self.entries.iter().any(|entry| entry.node == node)
    }
}
