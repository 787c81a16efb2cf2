use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, HostId, Incarnation, Version, Weight};

/// Whether a member of a roster takes new work.
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
    /// Distinguishes successive processes on the host.
    pub incarnation: Incarnation,
    /// UDP address of the host's agent.
    pub agent: SocketAddrV4,
    /// TCP address of the agent's administration RPC.
    pub admin: SocketAddrV4,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Relative capacity when the member joined.
    pub weight: Weight,
    /// Whether the member takes new work.
    pub state: HostState,
}

/// The agreed members of a service; successive rosters are ordered by `version`.
///
/// ```
/// let roster = usher_types::Roster::default();
/// assert!(roster.members.is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Version of the store object. The reader sets it; the stored value lacks it.
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
    /// Converts to a `Roster` that lists no earlier rosters.
    pub fn to_roster(&self) -> Roster {
        Roster {
            version: self.version,
            members: self.members.clone(),
            earlier: Vec::new(),
        }
    }
}
