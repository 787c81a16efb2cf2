use std::marker::PhantomData;

use usher_types::{HostId, HostState, Member, Roster};

use crate::Change;

/// The host is ready but its roster does not list it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announced;
/// The roster lists the host; it takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Serving;
/// The host takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining;

/// This process's own host in one state of its life cycle.
///
/// A transition consumes the value; a transition that is invalid in a state does not compile.
///
/// ```
/// use usher_members::{Change, Host};
/// use usher_types::{HostState, Incarnation, Member, Weight};
/// let member = Member {
///     incarnation: Incarnation::new(1),
///     agent: "127.0.0.1:9000".parse().unwrap(),
///     admin: "127.0.0.1:9001".parse().unwrap(),
///     centre: "kolkata".parse()?,
///     weight: Weight::NOMINAL,
///     state: HostState::Serving,
/// };
/// let announced = Host::announce("namedesk-1".parse()?, member);
/// assert!(matches!(announced.join(), Change::Join { .. }));
/// let draining = announced.serve().drain();
/// assert!(matches!(draining.leave(), Change::Leave { .. }));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
///
/// ```compile_fail
/// # fn check(host: usher_members::Host<usher_members::Announced>) {
/// host.leave(); // only a draining host leaves
/// # }
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host<State> {
    id: HostId,
    member: Member,
    state: PhantomData<State>,
}

impl<State> Host<State> {
    fn into_state<Next>(self) -> Host<Next> {
        Host {
            id: self.id,
            member: self.member,
            state: PhantomData,
        }
    }

    /// Whether a roster lists this process.
    pub(crate) fn is_listed(&self, roster: &Roster) -> bool {
        let listed = roster.members.get(&self.id);
        listed.is_some_and(|member| member.incarnation == self.member.incarnation)
    }
}

impl Host<Announced> {
    /// A host that is ready to join.
    pub fn announce(id: HostId, member: Member) -> Self {
        Self {
            id,
            member,
            state: PhantomData,
        }
    }

    /// The change that adds the host to the roster.
    pub fn join(&self) -> Change {
        Change::Join {
            host: self.id.clone(),
            member: self.member.clone(),
        }
    }

    /// The roster lists the host.
    #[must_use]
    pub fn serve(self) -> Host<Serving> {
        self.into_state()
    }
}

impl Host<Serving> {
    /// The roster no longer lists the host, which has to join again.
    #[must_use]
    pub fn removed(self) -> Host<Announced> {
        self.into_state()
    }

    /// The host takes no new work from now on.
    #[must_use]
    pub fn drain(self) -> Host<Draining> {
        self.into_state()
    }
}

impl Host<Draining> {
    /// The change that marks the host as draining; `None` if the roster already shows it.
    pub fn set_draining(&self, roster: &Roster) -> Option<Change> {
        let listed = roster.members.get(&self.id)?;
        let pending = listed.state != HostState::Draining && self.is_listed(roster);
        pending.then(|| Change::SetState {
            host: self.id.clone(),
            incarnation: self.member.incarnation,
            state: HostState::Draining,
        })
    }

    /// Ends the life cycle with the change that takes the host out of the roster.
    pub fn leave(self) -> Change {
        Change::Leave {
            host: self.id,
            incarnation: self.member.incarnation,
        }
    }
}
