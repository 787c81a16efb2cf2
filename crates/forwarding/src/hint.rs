use crate::{FlowKey, NodeId};

/// What an agent tells a balancer about a flow whose packet it got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// A host other than the first candidate holds the flow.
    Held {
        /// The flow.
        flow: FlowKey,
        /// Its host.
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
