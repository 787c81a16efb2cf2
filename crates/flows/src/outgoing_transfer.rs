use usher_types::{FlowId, Time};

use crate::FlowLocation;

/// A transfer that its receiver has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct OutgoingTransfer {
    pub(crate) number: u64,
    pub(crate) flows: Vec<FlowId>,
    pub(crate) directory: Vec<FlowLocation>,
    pub(crate) closed: Vec<FlowId>,
    /// When to retry; none while an answer is awaited.
    pub(crate) retry: Option<Time>,
    /// Whether the receiver may hold the flows although no acknowledgement arrived.
    pub(crate) is_uncertain: bool,
}
