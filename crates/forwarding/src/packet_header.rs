use std::net::SocketAddrV4;

use usher_types::Span;

use crate::FlowKey;

// A caller gives up an attempt this long after the first opening packet.
pub(crate) const ATTEMPT_TIME: Span = Span::from_millis(1_400);
// When it sends the opening packets, from the first one on.
const LAST_COPY_DELAY: Span = Span::from_millis(600);
const COPY_DELAYS: [Span; 3] = [Span::ZERO, Span::from_millis(200), LAST_COPY_DELAY];

/// The fields of a packet's header that decisions use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// Endpoint that sent the packet.
    pub source: SocketAddrV4,
    /// Endpoint that the packet is addressed to.
    pub target: SocketAddrV4,
    /// Control flags.
    pub flags: Flags,
    /// Sequence number of the data; chosen at random in an opening packet.
    pub sequence: u32,
    /// Position up to which the sender has received.
    ///
    /// In an opening packet of a caller, the number of copies sent before.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub data: u16,
    /// Token of the delivery, which the backend server echoes in a returned packet.
    pub token: u32,
}

/// Control flags of a packet.
#[expect(clippy::struct_excessive_bools, reason = "each is a bit of the header")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub opening: bool,
    /// Carries an acknowledgement.
    pub acknowledging: bool,
    /// Ends the data in the sender's direction.
    pub finishing: bool,
    /// Aborts the flow.
    pub resetting: bool,
    /// The backend server returns the packet: it does not hold the flow, or cannot take it.
    pub returned: bool,
}

impl PacketHeader {
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

    /// Whether the caller has given up a packet that opens a flow, if it was sent `age` ago or earlier.
    ///
    /// ```
    /// use usher_forwarding::{Flags, PacketHeader};
    /// use usher_types::Span;
    /// let flags = Flags {
    ///     opening: true,
    ///     ..Flags::default()
    /// };
    /// let opening = PacketHeader {
    ///     source: "100.64.0.7:40001".parse()?,
    ///     target: "198.18.0.1:443".parse()?,
    ///     flags,
    ///     sequence: 1,
    ///     acknowledged: 0,
    ///     data: 0,
    ///     token: 0,
    /// };
    /// assert!(!opening.is_given_up(Span::from_millis(1_000)));
    /// assert!(opening.is_given_up(Span::from_millis(1_400)));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn is_given_up(&self, age: Span) -> bool {
        self.opens() && age >= self.opening_life()
    }

    /// How long the caller waits after it has sent this opening packet.
    pub(crate) fn opening_life(&self) -> Span {
        let copy = usize::try_from(self.acknowledged).unwrap_or(usize::MAX);
        let delay = COPY_DELAYS.get(copy).copied().unwrap_or(LAST_COPY_DELAY);
        ATTEMPT_TIME - delay
    }

    /// Position behind the packet's data.
    pub(crate) fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.data))
    }

    /// Whether the packet's data ends behind a position of its sender.
    pub(crate) fn ends_after(&self, position: u32) -> bool {
        let distance = self.end().wrapping_sub(position);
        distance != 0 && distance <= u32::MAX / 2
    }
}
