use std::fmt;

use serde::{Deserialize, Serialize};
use usher_types::{HostId, Incarnation, RequestKey, Roster, Weight};

/// One agent process; a later process on the same host has none of its records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agent {
    /// The agent's host.
    pub host: HostId,
    /// Distinguishes successive processes on the host.
    pub incarnation: Incarnation,
}

impl fmt::Display for Agent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// The agent that owns a key under a roster, if the roster has members.
///
/// ```
/// use usher_types::{RequestKey, Roster};
/// assert!(usher_dedupe::owner_of(&Roster::default(), RequestKey::new(1)).is_none());
/// ```
pub fn owner_of(roster: &Roster, key: RequestKey) -> Option<Agent> {
    let seed = (key.get() >> 64) as u64 ^ key.get() as u64;
    let members = roster.members.keys().map(|host| (host, Weight::NOMINAL));
    let host = usher_placement::highest_ranked(seed, members)?;
    let incarnation = roster.members.get(host)?.incarnation;
    Some(Agent {
        host: host.clone(),
        incarnation,
    })
}

pub(crate) fn is_member(roster: &Roster, agent: &Agent) -> bool {
    roster
        .members
        .get(&agent.host)
        .is_some_and(|member| member.incarnation == agent.incarnation)
}

/// Number of members whose acknowledgements are needed for a lease.
pub(crate) const fn lease_quorum(members: usize) -> usize {
    if members <= 2 {
        members
    } else {
        members / 2 + 1
    }
}

/// Number of members whose adoption of a newer roster ends all leases.
///
/// Any such group of members intersects every lease quorum.
pub(crate) const fn activation_quorum(members: usize) -> usize {
    match members {
        0 => 0,
        1 | 2 => 1,
        _ => members / 2 + 1,
    }
}
