use crate::{FlowKey, NodeId};

/// Hint from an agent to a balancer: a host other than the first candidate holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// The flow.
    pub flow: FlowKey,
    /// Address of the host.
    pub node: NodeId,
}
