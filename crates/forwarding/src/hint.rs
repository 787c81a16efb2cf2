use crate::{FlowKey, NodeId};

/// Hint from an agent to a balancer about the host of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// A host other than the first candidate holds the flow.
    Held {
        /// The flow.
        flow: FlowKey,
        /// Address of the host.
        node: NodeId,
    },
    /// None of the candidates holds the flow.
    Missing {
        /// The flow.
        flow: FlowKey,
        /// Position up to which the caller has received.
        received: u32,
    },
}
