use std::mem;

use super::host::{Draining, Ended, Host, Serving};
use crate::{HostHeartbeat, HostState};

/// Effect of a heartbeat of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// First heartbeat of a process; flows of earlier processes are lost.
    Started,
    /// A later heartbeat of the known process that changes its state.
    Changed,
    /// A later heartbeat of the known process; the state is unchanged.
    Confirmed,
    /// Older than a heartbeat already received; ignored.
    Late,
    /// From another writer: names another host, or a sequence that the known process cannot have
    /// reached; ignored.
    Foreign,
}

// A process sends about one heartbeat a second and a few more after failures. Without this limit one
// odd sequence makes the heartbeats of the real process count as late for as long as it runs.
const MAX_SEQUENCE_STEP: u32 = 1_000;

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
    pub(crate) fn heartbeat(&self) -> Option<&HostHeartbeat> {
        match self {
            Self::Unheard => None,
            Self::Serving(host) => Some(host.heartbeat()),
            Self::Draining(host) => Some(host.heartbeat()),
            Self::Ended(host) => Some(host.heartbeat()),
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
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: HostHeartbeat,
        silent: bool,
    ) -> HeartbeatEffect {
        let Some(known) = self.heartbeat() else {
            *self = from_heartbeat(heartbeat);
            return HeartbeatEffect::Started;
        };
        let same = known.id == heartbeat.id && known.born == heartbeat.born;
        if (heartbeat.born < known.born && !silent)
            || (same && heartbeat.sequence <= known.sequence)
        {
            return HeartbeatEffect::Late;
        }
        let step = heartbeat
            .sequence
            .get()
            .saturating_sub(known.sequence.get());
        if same && !silent && step > MAX_SEQUENCE_STEP {
            return HeartbeatEffect::Foreign;
        }
        if !same {
            *self = from_heartbeat(heartbeat);
            return HeartbeatEffect::Started;
        }
        let before = self.state();
        *self = match (mem::take(self), heartbeat.draining) {
            (Self::Serving(host), true) => Self::Draining(host.drain()),
            (Self::Draining(host), false) => Self::Serving(host.resume()),
            (Self::Unheard | Self::Ended(_), _) => from_heartbeat(heartbeat.clone()),
            (lifecycle, _) => lifecycle,
        };
        match self {
            Self::Serving(host) => host.update(heartbeat),
            Self::Draining(host) => host.update(heartbeat),
            Self::Unheard | Self::Ended(_) => {}
        }
        if self.state() == before {
            HeartbeatEffect::Confirmed
        } else {
            HeartbeatEffect::Changed
        }
    }

    /// Ends the process `id`; `false` if it is not the current process.
    pub(crate) fn on_leave(&mut self, id: &str) -> bool {
        if self.heartbeat().is_none_or(|heartbeat| heartbeat.id != id) {
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

fn from_heartbeat(heartbeat: HostHeartbeat) -> HostLifecycle {
    let draining = heartbeat.draining;
    let host = Host::start(heartbeat);
    if draining {
        HostLifecycle::Draining(host.drain())
    } else {
        HostLifecycle::Serving(host)
    }
}
