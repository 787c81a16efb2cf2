use usher_types::{HostId, HostState, Incarnation, Member, Roster};

/// One change to a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A host joins, or replaces its earlier process.
    Join {
        /// The host.
        host: HostId,
        /// Its entry.
        member: Member,
    },
    /// A host removes itself from the roster.
    Leave {
        /// The host.
        host: HostId,
        /// Incarnation that leaves; a later one stays.
        incarnation: Incarnation,
    },
    /// A host changes its state, for example to draining.
    SetState {
        /// The host.
        host: HostId,
        /// Incarnation that changes; a later one is unaffected.
        incarnation: Incarnation,
        /// The new state.
        state: HostState,
    },
    /// Removes hosts whose heartbeats other members no longer receive.
    Remove {
        /// The hosts and their suspected incarnations; later incarnations stay.
        hosts: Vec<(HostId, Incarnation)>,
    },
}

impl Change {
    /// Applies the change to a roster's members.
    pub(crate) fn apply(&self, roster: &mut Roster) {
        match self {
            Self::Join { host, member } => {
                roster.members.insert(host.clone(), member.clone());
            }
            Self::Leave { host, incarnation } => remove(roster, host, *incarnation),
            Self::SetState {
                host,
                incarnation,
                state,
            } => {
                let member = roster.members.get_mut(host);
                if let Some(member) = member.filter(|member| member.incarnation == *incarnation) {
                    member.state = *state;
                }
            }
            Self::Remove { hosts } => {
                for (host, incarnation) in hosts {
                    remove(roster, host, *incarnation);
                }
            }
        }
    }
}

fn remove(roster: &mut Roster, host: &HostId, incarnation: Incarnation) {
    let listed = roster.members.get(host);
    if listed.is_some_and(|member| member.incarnation <= incarnation) {
        roster.members.shift_remove(host);
    }
}
