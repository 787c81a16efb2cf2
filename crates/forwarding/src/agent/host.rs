use crate::HostWord;

/// The backend server beside the agent, in one state of its life.
///
/// A state is entered by consuming the one before, so an agent cannot give work to a backend
/// server that it has not heard, or that is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Host<State> {
    word: HostWord,
    state: State,
}

/// Takes new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Serving;

/// Keeps its flows and takes no new ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Draining;

/// Has left or was replaced; it holds nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ended;

impl Host<Serving> {
    pub(crate) fn start(word: HostWord) -> Self {
        Self {
            word,
            state: Serving,
        }
    }

    pub(crate) fn drain(self) -> Host<Draining> {
        self.with(Draining)
    }
}

impl Host<Draining> {
    /// A later word takes the departure back.
    pub(crate) fn resume(self) -> Host<Serving> {
        self.with(Serving)
    }
}

impl<State> Host<State> {
    pub(crate) fn end(self) -> Host<Ended> {
        self.with(Ended)
    }

    pub(crate) fn word(&self) -> &HostWord {
        &self.word
    }

    /// Takes a later word of the same process.
    pub(crate) fn update(&mut self, word: HostWord) {
        self.word = word;
    }

    fn with<Next>(self, state: Next) -> Host<Next> {
        Host {
            word: self.word,
            state,
        }
    }
}
