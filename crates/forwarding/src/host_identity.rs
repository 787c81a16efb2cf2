use std::net::SocketAddrV4;

use usher_types::DataCentre;

/// What all processes of the backend server beside an agent have in common.
///
/// A heartbeat that differs in any of it is from another writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name of the service.
    pub service: String,
    /// Address at which the backend server receives packets.
    pub address: SocketAddrV4,
    /// Data centre of the host.
    pub centre: DataCentre,
}
