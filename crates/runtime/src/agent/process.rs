use usher_types::Time;

/// Life cycle of the agent's process; each transition consumes the previous state.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Process<State>(State);

/// Takes new work.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Running;

/// Takes no new work and hands its flows over.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Draining {
    stop: bool,
    done: bool,
}

/// Leaves the roster and hands its dedupe records over.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Leaving;

/// Forwards late packets until the process ends.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Left {
    since: Time,
}

impl Process<Running> {
    pub(crate) fn new() -> Self {
        Self(Running)
    }

    /// `stop` distinguishes a planned stop from a drain that keeps the process running.
    pub(crate) fn drain(self, stop: bool) -> Process<Draining> {
        Process(Draining { stop, done: false })
    }
}

impl Process<Draining> {
    /// Turns a drain that has already begun into a planned stop.
    pub(crate) fn stop(self) -> Self {
        Self(Draining {
            stop: true,
            ..self.0
        })
    }

    /// All flows are handed over and all requests finished.
    pub(crate) fn finish(self) -> Self {
        Self(Draining {
            done: true,
            ..self.0
        })
    }

    pub(crate) fn is_done(&self) -> bool {
        self.0.done
    }

    pub(crate) fn may_leave(&self) -> bool {
        self.0.stop && self.0.done
    }

    pub(crate) fn leave(self) -> Process<Leaving> {
        Process(Leaving)
    }
}

impl Process<Leaving> {
    pub(crate) fn left(self, now: Time) -> Process<Left> {
        Process(Left { since: now })
    }
}

impl Process<Left> {
    pub(crate) fn since(&self) -> Time {
        self.0.since
    }
}
