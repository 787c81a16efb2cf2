use crate::NodeId;

/// Chooses the nodes that the hello messages of one round list.
///
/// A message has room for a limited number of nodes, so successive rounds list different ones. Each
/// round continues after the last node that the previous one listed. Nodes that join or leave
/// between two rounds therefore never hide another one.
#[derive(Debug, Clone)]
pub struct HelloRotation {
    length: usize,
    /// The last node of the previous round.
    previous: NodeId,
    /// The last node of this round.
    last: NodeId,
}

impl HelloRotation {
    /// A rotation of lists of up to `length` nodes.
    ///
    /// ```
    /// use usher_forwarding::{HelloRotation, NodeId};
    /// let nodes: [NodeId; 3] = ["10.1.0.1".parse()?, "10.1.0.2".parse()?, "10.1.0.3".parse()?];
    /// let mut rotation = HelloRotation::new(2);
    /// rotation.advance(nodes);
    /// assert_eq!(rotation.list(nodes), [nodes[0], nodes[1]]);
    /// rotation.advance(nodes);
    /// assert_eq!(rotation.list(nodes), [nodes[2], nodes[0]]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(length: usize) -> Self {
        Self {
            length,
            previous: NodeId::NONE,
            last: NodeId::NONE,
        }
    }

    /// Begins the next round; `nodes` are those that its messages list.
    pub fn advance(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.previous = self.last;
        if let Some(last) = self.list(nodes).last() {
            self.last = *last;
        }
    }

    /// The nodes that a message of this round lists, in the order of their addresses.
    ///
    /// The order starts after the last node of the previous round and wraps around. All messages of
    /// a round list the same nodes, so that each receiver hears of every node in turn.
    pub fn list(&self, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = nodes.into_iter().collect();
        nodes.sort_unstable_by_key(|node| (*node <= self.previous, *node));
        nodes.truncate(self.length);
        nodes
    }
}
