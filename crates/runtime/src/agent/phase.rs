use std::fmt;

use usher_types::Time;

use super::process::{Draining, Leaving, Left, Process, Running};

/// Current phase of the process's life cycle.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Takes new work.
    Running(Process<Running>),
    /// Takes no new work.
    Draining(Process<Draining>),
    /// Leaves the roster.
    Leaving(Process<Leaving>),
    /// Has left the roster and is about to end.
    Left(Process<Left>),
}

impl Phase {
    pub(crate) fn is_running(&self) -> bool {
        matches!(self, Self::Running(_))
    }

    pub(crate) fn drain(self, stop: bool) -> Self {
        match self {
            Self::Running(process) => Self::Draining(process.drain(stop)),
            Self::Draining(process) if stop => Self::Draining(process.stop()),
            other => other,
        }
    }

    /// The drain is complete.
    pub(crate) fn finish(self) -> Self {
        match self {
            Self::Draining(process) => Self::Draining(process.finish()),
            other => other,
        }
    }

    /// Whether a planned stop asked to leave and the drain is complete.
    pub(crate) fn may_leave(&self) -> bool {
        matches!(self, Self::Draining(process) if process.may_leave())
    }

    pub(crate) fn leave(self) -> Self {
        match self {
            Self::Draining(process) => Self::Leaving(process.leave()),
            other => other,
        }
    }

    /// The roster no longer lists the process, and other hosts hold its records.
    pub(crate) fn left(self, now: Time) -> Self {
        match self {
            Self::Leaving(process) => Self::Left(process.left(now)),
            other => other,
        }
    }

    /// When the process left the roster.
    pub(crate) fn left_at(&self) -> Option<Time> {
        match self {
            Self::Left(process) => Some(process.since()),
            _ => None,
        }
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self::Running(Process::new())
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running(_) => "serving",
            Self::Draining(process) if process.is_done() => "drained",
            Self::Draining(_) => "draining",
            Self::Leaving(_) => "leaving",
            Self::Left(_) => "left",
        })
    }
}
