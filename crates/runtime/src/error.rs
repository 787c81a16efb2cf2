use std::io;
use std::net::SocketAddrV4;

use thiserror::Error;

/// An error that ends the process.
#[derive(Debug, Error)]
pub enum RuntimeError {
    /// A socket cannot be opened.
    #[error("MU-6001: cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddrV4,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("MU-6002: cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// The metrics client cannot be set up.
    #[error("MU-6003: cannot set up metrics: {0}")]
    Metrics(String),
    /// The control thread ended early.
    #[error("MU-6004: the control thread ended")]
    Control,
}
