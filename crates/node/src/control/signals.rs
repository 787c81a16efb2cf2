use tokio::signal::unix::{self, SignalKind, signal};

use crate::NodeError;

/// A request from the platform to a running process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Stop as planned.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals of this process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Self, NodeError> {
        let listen = |kind| {
            signal(kind).map_err(|cause| NodeError::Start {
                what: "the signal handlers",
                cause: cause.to_string(),
            })
        };
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    pub(crate) async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.hangup.recv() => Signal::Reload,
        }
    }
}
