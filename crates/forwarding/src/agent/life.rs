use std::mem;

use super::host::{Draining, Ended, Host, Serving};
use crate::{HostState, HostWord};

/// What became of a word of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The first word of a process; flows of earlier processes are gone.
    Started,
    /// A later word of the known process that changes its state.
    Changed,
    /// A later word of the known process.
    Confirmed,
    /// A word that a later one has overtaken; it changes nothing.
    Late,
    /// The word names another service; it changes nothing.
    Foreign,
}

/// What the agent knows of its backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum Life {
    /// Nothing since the agent started.
    #[default]
    Unheard,
    /// See [`Serving`].
    Serving(Host<Serving>),
    /// See [`Draining`].
    Draining(Host<Draining>),
    /// See [`Ended`].
    Ended(Host<Ended>),
}

impl Life {
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

    /// Takes a word; `silent` tells that the known process has missed its heartbeats. The start
    /// of a process is read from a clock that may step back, so an earlier start is a later process
    /// when the known one is silent.
    pub(crate) fn hear(&mut self, word: HostWord, silent: bool) -> Heard {
        let Some(known) = self.word() else {
            *self = begin(word);
            return Heard::Started;
        };
        let same = known.id == word.id && known.born == word.born;
        if (word.born < known.born && !silent) || (same && word.sequence <= known.sequence) {
            return Heard::Late;
        }
        if !same {
            *self = begin(word);
            return Heard::Started;
        }
        let before = self.state();
        *self = match (mem::take(self), word.draining) {
            (Self::Serving(host), true) => Self::Draining(host.drain()),
            (Self::Draining(host), false) => Self::Serving(host.resume()),
            (Self::Unheard | Self::Ended(_), _) => begin(word.clone()),
            (life, _) => life,
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

    /// The backend server takes its leave; `false` if another process is there by now.
    pub(crate) fn leave(&mut self, id: &str) -> bool {
        if self.word().is_none_or(|word| word.id != id) {
            return false;
        }
        *self = match mem::take(self) {
            Self::Serving(host) => Self::Ended(host.end()),
            Self::Draining(host) => Self::Ended(host.end()),
            life => life,
        };
        true
    }
}

fn begin(word: HostWord) -> Life {
    let draining = word.draining;
    let host = Host::start(word);
    if draining {
        Life::Draining(host.drain())
    } else {
        Life::Serving(host)
    }
}
