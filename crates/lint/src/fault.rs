use std::net::SocketAddrV4;

use serde::Serialize;
use thiserror::Error;
use usher_types::Label;

/// How bad a fault is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// The document does not do what it says, so it should not be sent.
    Error,
    /// A part of the document has no effect.
    Warning,
}

impl Level {
    /// Name of the level in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// A fault of a configuration document (`MU-9214` to `MU-9219`).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nodes skip the entry.
    #[error("MU-9214: {entry} cannot be used: {cause}")]
    Unusable {
        /// The entry.
        entry: String,
        /// Why it cannot be decoded.
        cause: String,
    },
    /// A later route takes the flows of this one.
    #[error(
        "MU-9215: route {route} never matches: the later route {later} has its address {address}"
    )]
    Hidden {
        /// The route without flows.
        route: String,
        /// The route that gets them.
        later: String,
        /// The address of both.
        address: SocketAddrV4,
    },
    /// No service can be chosen for the flows of a route.
    #[error("MU-9216: route {route} has no usable service: {cause}")]
    NoService {
        /// The route.
        route: String,
        /// What is wrong with its services.
        cause: &'static str,
    },
    /// Limits of an entry contradict each other.
    #[error("MU-9217: {entry}: {cause}")]
    Limits {
        /// The entry.
        entry: String,
        /// The limits.
        cause: String,
    },
    /// A part of the document has no effect.
    #[error("MU-9218: {entry} {cause}")]
    Unused {
        /// The part.
        entry: String,
        /// Why it has none.
        cause: &'static str,
    },
    /// Balancers keep the document in force.
    #[error("MU-9219: version {offered} is not above version {current}, which is in force")]
    Outdated {
        /// Number of the document.
        offered: Label,
        /// Number of the document in force.
        current: Label,
    },
}

impl Fault {
    /// How bad the fault is.
    pub const fn level(&self) -> Level {
        match self {
            Self::Unused { .. } => Level::Warning,
            _ => Level::Error,
        }
    }
}
