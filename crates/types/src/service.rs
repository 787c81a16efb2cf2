use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Generation, ProfileName};

/// A service: its address and the profile it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Profile with the settings for its traffic.
    pub profile: ProfileName,
    /// Raised when the address moves from another service.
    #[serde(default)]
    pub generation: Generation,
}
