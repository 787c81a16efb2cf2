use std::net::SocketAddrV4;

use usher_admission::Policy;
use usher_types::{HostId, Incarnation, ServiceName, Slots};

/// Fixed parameters of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Host that the agent runs on.
    pub host: HostId,
    /// Tells successive processes on the host apart.
    pub incarnation: Incarnation,
    /// Service of the backend server.
    pub service: ServiceName,
    /// UDP address of the agent.
    pub address: SocketAddrV4,
    /// Requests that the backend server runs at the same time.
    pub slots: Slots,
    /// Scheduling policy.
    pub policy: Policy,
}
