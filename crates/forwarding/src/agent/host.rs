use crate::HostHeartbeat;

/// The backend server on the agent's host, in one state of its life cycle.
///
/// Each transition consumes the previous state, so an agent cannot give work to a backend server
/// that has sent no heartbeat or is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Host<State> {
    heartbeat: HostHeartbeat,
    state: State,
}

/// Takes new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Serving;

/// Finishes its flows and takes no new ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Draining;

/// Has left; holds no flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ended;

impl Host<Serving> {
    pub(crate) fn start(heartbeat: HostHeartbeat) -> Self {
        Self {
            heartbeat,
            state: Serving,
        }
    }

    pub(crate) fn drain(self) -> Host<Draining> {
        self.into_state(Draining)
    }
}

impl Host<Draining> {
    /// A later heartbeat without the draining flag resumes service.
    pub(crate) fn resume(self) -> Host<Serving> {
        self.into_state(Serving)
    }
}

impl<State> Host<State> {
    pub(crate) fn end(self) -> Host<Ended> {
        self.into_state(Ended)
    }

    pub(crate) fn heartbeat(&self) -> &HostHeartbeat {
        &self.heartbeat
    }

    /// Stores a later heartbeat of the same process.
    pub(crate) fn update(&mut self, heartbeat: HostHeartbeat) {
        self.heartbeat = heartbeat;
    }

    fn into_state<Next>(self, state: Next) -> Host<Next> {
        Host {
            heartbeat: self.heartbeat,
            state,
        }
    }
}
