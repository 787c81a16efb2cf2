use usher_types::{FlowId, Time};

use crate::Located;

/// A transfer that its receiver has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Transit {
    pub(crate) number: u64,
    pub(crate) flows: Vec<FlowId>,
    pub(crate) directory: Vec<Located>,
    pub(crate) closed: Vec<FlowId>,
    /// When to send it again; none while an answer is awaited.
    pub(crate) retry: Option<Time>,
    /// An answer was lost, so the receiver may hold the flows.
    pub(crate) is_uncertain: bool,
}
