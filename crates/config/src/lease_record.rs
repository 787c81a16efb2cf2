use serde::{Deserialize, Serialize};
use usher_types::{Peer, Span};

/// Value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The process that holds the lease.
    pub holder: Peer,
    /// Validity of the lease, counted from the sending of the write of this version.
    pub term: Span,
}
