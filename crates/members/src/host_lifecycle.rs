use usher_types::{HostId, Member, Roster};

use crate::{Announced, Change, Draining, Host, Serving};

/// This process's own host, in any state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum HostLifecycle {
    /// Not ready to join, or not a host at all.
    #[default]
    Unknown,
    /// Waits to be listed.
    Announced(Host<Announced>),
    /// Takes new flows.
    Serving(Host<Serving>),
    /// Takes no new work.
    Draining(Host<Draining>),
    /// Has drained; this change removes it from the roster.
    Left(Change),
}

impl HostLifecycle {
    /// The host is ready to join; a host that already announced itself is unchanged.
    pub(crate) fn join(self, id: HostId, member: Member) -> Self {
        match self {
            Self::Unknown => Self::Announced(Host::announce(id, member)),
            other => other,
        }
    }

    /// Moves to the state that the roster shows.
    pub(crate) fn adopt(self, roster: &Roster) -> Self {
        match self {
            Self::Announced(host) if host.is_listed(roster) => Self::Serving(host.serve()),
            Self::Serving(host) if !host.is_listed(roster) => Self::Announced(host.removed()),
            other => other,
        }
    }

    /// Begins to drain; a host that was never listed has nothing to drain.
    pub(crate) fn drain(self) -> Self {
        match self {
            Self::Serving(host) => Self::Draining(host.drain()),
            // A join may have been written without its response; leaving covers both cases.
            Self::Announced(host) => Self::Left(host.serve().drain().leave()),
            other => other,
        }
    }

    /// Leaves; a host that serves drains first, so the event is ignored then.
    pub(crate) fn leave(self) -> Self {
        match self {
            Self::Draining(host) => Self::Left(host.leave()),
            other => other,
        }
    }

    /// The change that the roster still lacks.
    pub(crate) fn pending(&self, roster: &Roster) -> Option<Change> {
        match self {
            Self::Unknown | Self::Serving(_) => None,
            Self::Announced(host) => (!host.is_listed(roster)).then(|| host.join()),
            Self::Draining(host) => host.set_draining(roster),
            Self::Left(change) => {
                let mut changed = roster.clone();
                change.apply(&mut changed);
                (changed != *roster).then(|| change.clone())
            }
        }
    }

    /// Whether the host sends heartbeats.
    pub(crate) fn beats(&self) -> bool {
        matches!(self, Self::Serving(_) | Self::Draining(_))
    }
}
