use std::mem;

use super::host::{Draining, Ended, Host, Serving};
use crate::{HostState, HostWord};

/// Effect of a heartbeat of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// First heartbeat of a process; flows of earlier processes are lost.
    Started,
    /// A later heartbeat of the known process that changes its state.
    Changed,
    /// A later heartbeat of the known process; the state is unchanged.
    Confirmed,
    /// Older than a heartbeat already received; ignored.
    Late,
    /// Names another service; ignored.
    Foreign,
}

/// Life cycle of the agent's backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum HostLifecycle {
    /// No heartbeat since the agent started.
    #[default]
    Unheard,
    /// See [`Serving`].
    Serving(Host<Serving>),
    /// See [`Draining`].
    Draining(Host<Draining>),
    /// See [`Ended`].
    Ended(Host<Ended>),
}

impl HostLifecycle {
    pub(crate) fn word(&self) -> Option<&HostWord> {
        match self {
            Self::Unheard => None,
            Self::Serving(host) => Some(host.word()),
            Self::Draining(host) => Some(host.word()),
            Self::Ended(host) => Some(host.word()),
        }
    }

    pub(crate) fn state(&self) -> HostState {
        match self {
            Self::Unheard => HostState::Unheard,
            Self::Serving(_) => HostState::Serving,
            Self::Draining(_) => HostState::Draining,
            Self::Ended(_) => HostState::Ended,
        }
    }

    /// Applies a heartbeat; `silent` says that the known process has missed its heartbeats.
    ///
    /// A process reads its start time from a clock that may step back, so an earlier start time is
    /// accepted as a later process while the known one is silent.
    pub(crate) fn on_heartbeat(&mut self, word: HostWord, silent: bool) -> Heard {
        let Some(known) = self.word() else {
            *self = from_heartbeat(word);
            return Heard::Started;
        };
        let same = known.id == word.id && known.born == word.born;
        if (word.born < known.born && !silent) || (same && word.sequence <= known.sequence) {
            return Heard::Late;
        }
        if !same {
            *self = from_heartbeat(word);
            return Heard::Started;
        }
        let before = self.state();
        *self = match (mem::take(self), word.draining) {
            (Self::Serving(host), true) => Self::Draining(host.drain()),
            (Self::Draining(host), false) => Self::Serving(host.resume()),
            (Self::Unheard | Self::Ended(_), _) => from_heartbeat(word.clone()),
            (lifecycle, _) => lifecycle,
        };
        match self {
            Self::Serving(host) => host.update(word),
            Self::Draining(host) => host.update(word),
            Self::Unheard | Self::Ended(_) => {}
        }
        if self.state() == before {
            Heard::Confirmed
        } else {
            Heard::Changed
        }
    }

    /// Ends the process `id`; `false` if it is not the current process.
    pub(crate) fn on_leave(&mut self, id: &str) -> bool {
        if self.word().is_none_or(|word| word.id != id) {
            return false;
        }
        *self = match mem::take(self) {
            Self::Serving(host) => Self::Ended(host.end()),
            Self::Draining(host) => Self::Ended(host.end()),
            lifecycle => lifecycle,
        };
        true
    }
}

fn from_heartbeat(word: HostWord) -> HostLifecycle {
    let draining = word.draining;
    let host = Host::start(word);
    if draining {
        HostLifecycle::Draining(host.drain())
    } else {
        HostLifecycle::Serving(host)
    }
}
