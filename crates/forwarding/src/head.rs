use std::net::SocketAddrV4;

use crate::FlowKey;

/// What decisions read of a packet's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// End that sent the packet.
    pub source: SocketAddrV4,
    /// End that the packet is for.
    pub target: SocketAddrV4,
    /// Control bits.
    pub flags: Flags,
    /// Position of the packet's data in its direction; drawn at random in an opening packet.
    pub sequence: u32,
    /// Position up to which the sender has received. In an opening packet of a caller, the number
    /// of copies sent before.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub data: u16,
    /// Value that the agent gave the packet on its way to the backend server.
    pub token: u32,
}

/// Control bits of a packet.
#[expect(clippy::struct_excessive_bools, reason = "each is a bit of the head")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub opening: bool,
    /// Carries an acknowledgement.
    pub acknowledging: bool,
    /// Ends the sender's direction.
    pub finishing: bool,
    /// Ends the flow at once.
    pub resetting: bool,
    /// The backend server does not hold the flow, or cannot take it, and gives the packet back.
    pub returned: bool,
}

impl Head {
    /// The flow of a packet that a caller sent.
    pub fn inbound(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            address: self.target,
        }
    }

    /// The flow of a packet that a backend server sent.
    pub fn outbound(&self) -> FlowKey {
        FlowKey {
            caller: self.target,
            address: self.source,
        }
    }

    /// Whether this is the packet with which a caller opens a flow.
    pub fn opens(&self) -> bool {
        self.flags.opening && !self.flags.acknowledging
    }
}
