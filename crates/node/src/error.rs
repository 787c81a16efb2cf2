use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings file cannot be read.
    #[error("MU-9101: cannot read settings file {}: {reason}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error from the operating system or the parser.
        reason: String,
    },
    /// No settings file is named.
    #[error("MU-9102: no settings file: give --settings or set {0}")]
    NoSettings(&'static str),
    /// A setting has an invalid value.
    #[error("MU-9103: {section}.{key} = '{value}': expected {allowed}")]
    Value {
        /// Section of the file.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// The value in the file.
        value: String,
        /// Values that the key accepts.
        allowed: &'static str,
    },
    /// An agent's settings lack the section about its backend server.
    #[error("MU-9104: role agent needs the section [agent]")]
    NoAgent,
    /// An address cannot be opened.
    #[error("MU-9105: cannot open {what} on {address}: {cause}")]
    Open {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: String,
        /// Error from the operating system.
        cause: io::Error,
    },
    /// A template of settings cannot be rendered.
    #[error(transparent)]
    Template(usher_platform::DecodeError),
    /// A thread, the runtime or the log cannot be started.
    #[error("MU-9106: cannot start {what}: {cause}")]
    Start {
        /// What was to be started.
        what: &'static str,
        /// Error from the operating system or the library.
        cause: String,
    },
}
