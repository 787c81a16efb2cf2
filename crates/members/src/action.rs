use std::net::SocketAddrV4;

use usher_types::{Beat, BeatAck, HostId, ServiceName};

use crate::{FleetProposal, Proposal};

/// What the code that drives [`crate::Membership`] is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat to each address.
    Beat {
        /// Addresses of the receivers.
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
    /// Whether this process trusts its own view of a service changed.
    Distrusted {
        /// The service.
        service: ServiceName,
        /// True while more than half of the members look dead.
        distrusted: bool,
    },
    /// Write a roster change to the store, if it still holds the base version.
    Propose(Proposal),
    /// Write a fleet without its silent balancers to the store, if it still holds the base version.
    ProposeFleet(FleetProposal),
}
