use serde::{Deserialize, Serialize};
use usher_types::Span;

use crate::{NodeId, Report};

/// What a balancer knows about one host, for a balancer that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownHost {
    /// Agent of the host.
    pub agent: NodeId,
    /// The agent's last report.
    pub report: Report,
    /// Age of the report.
    pub age: Span,
}

/// One page of the hosts that a balancer hands over, by rising address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPage {
    /// The hosts of this page.
    pub hosts: Vec<KnownHost>,
    /// Whether hosts with higher addresses follow.
    pub more: bool,
}
