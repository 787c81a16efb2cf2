use std::net::SocketAddrV4;

use usher_types::{Beat, BeatAck, HostId, ServiceName};

use crate::{FleetProposal, Proposal};

/// What the caller of [`crate::Membership`] is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat to each address.
    Beat {
        /// Receivers.
        to: Vec<SocketAddrV4>,
        /// The heartbeat.
        beat: Beat,
    },
    /// Acknowledge a heartbeat.
    Ack {
        /// Sender of the heartbeat.
        to: SocketAddrV4,
        /// The acknowledgement.
        ack: BeatAck,
    },
    /// The suspected hosts of a service changed.
    Suspected {
        /// The service.
        service: ServiceName,
        /// All suspected hosts, in roster order.
        hosts: Vec<HostId>,
    },
    /// Whether this process distrusts its view of a service changed.
    Distrusted {
        /// The service.
        service: ServiceName,
        /// More than half of its members look dead.
        distrusted: bool,
    },
    /// Write a roster change to the store, on condition of its base version.
    Propose(Proposal),
    /// Write a fleet without its silent balancers to the store, on condition of its base version.
    ProposeFleet(FleetProposal),
}
