use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, HostId, Incarnation, Version, Weight};

/// What a member of a roster is ready to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes new flows and new work.
    Serving,
    /// Takes no new work; finishes what it holds.
    Draining,
}

/// One host of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Tells successive processes on the host apart.
    pub incarnation: Incarnation,
    /// UDP address of the host's agent.
    pub agent: SocketAddrV4,
    /// TCP address of the agent's administration RPC.
    pub admin: SocketAddrV4,
    /// Where the host stands.
    pub centre: DataCentre,
    /// Relative strength when the member joined.
    pub weight: Weight,
    /// What the member is ready to do.
    pub state: HostState,
}

/// The agreed members of a service, in the order of a store object's versions.
///
/// ```
/// let roster = usher_types::Roster::default();
/// assert!(roster.members.is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Version of the store object; set by whoever reads it.
    #[serde(skip)]
    pub version: Version,
    /// Members by host.
    pub members: IndexMap<HostId, Member>,
    /// Earlier rosters whose members may still act as owners, newest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<PastRoster>,
}

/// A roster that a newer one replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastRoster {
    /// Version that the store object had.
    pub version: Version,
    /// Members by host.
    pub members: IndexMap<HostId, Member>,
}

impl PastRoster {
    /// The roster as it was, without its own predecessors.
    pub fn to_roster(&self) -> Roster {
        Roster {
            version: self.version,
            members: self.members.clone(),
            earlier: Vec::new(),
        }
    }
}
