use std::fmt;
use std::net::SocketAddrV4;

use usher_types::Relay;

/// What a balancer does with a caller's packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Forward {
    /// Send the relay to an agent.
    Send {
        /// Address of the agent.
        to: SocketAddrV4,
        /// The packet with its route.
        relay: Relay,
    },
    /// Discard the packet and count it.
    Drop(DropReason),
}

/// Why a packet was discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// No service has the destination address.
    UnknownService,
    /// The service has no members.
    NoMembers,
    /// Only agents send packets of this kind.
    WrongDirection,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "unknown service address",
            Self::NoMembers => "service without members",
            Self::WrongDirection => "packet kind that only agents send",
        })
    }
}
