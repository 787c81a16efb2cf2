use usher_types::{FlowId, Time};

use crate::Located;

/// A parcel that its receiver has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Transit {
    pub(crate) flows: Vec<FlowId>,
    pub(crate) directory: Vec<Located>,
    /// When to send it again; none while an answer is awaited.
    pub(crate) retry: Option<Time>,
}
