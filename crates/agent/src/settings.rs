use std::net::SocketAddrV4;

use usher_admission::Policy;
use usher_types::{HostId, Incarnation, ServiceName, Slots};

/// Fixed parameters of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Host that the agent runs on.
    pub host: HostId,
    /// Distinguishes successive processes on the host.
    pub incarnation: Incarnation,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// UDP address of the agent.
    pub address: SocketAddrV4,
    /// Number of requests that the backend server runs at the same time.
    pub slots: Slots,
    /// Scheduling policy.
    pub policy: Policy,
}
