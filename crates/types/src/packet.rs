use serde::{Deserialize, Serialize};

use crate::{FlowId, MessageId, Payload, Sequence};

/// One packet of a flow, in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The flow that the packet belongs to.
    pub flow: FlowId,
    /// Sequence number in the sender's direction; a resent packet gets a new one.
    pub sequence: Sequence,
    /// What the packet carries.
    pub body: Body,
}

/// What a packet carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// First packet of a flow, from the caller.
    Open,
    /// Answer to `Open`: an agent holds the flow.
    Accept,
    /// A part of a message.
    Segment(Segment),
    /// Confirms receipt of one segment.
    Ack {
        /// Message of the segment.
        message: MessageId,
        /// Index of the segment.
        index: u16,
    },
    /// Ends the flow, from the caller.
    Close,
    /// Answer to `Close`.
    Closed,
    /// No agent holds the flow.
    Reset,
}

/// A part of a message, small enough for one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Message that the segment belongs to.
    pub message: MessageId,
    /// Position in the message, from 0.
    pub index: u16,
    /// Number of segments of the message.
    pub count: u16,
    /// Length of the whole message in bytes.
    pub length: u32,
    /// Checksum of the whole message.
    pub checksum: u32,
    /// The segment's bytes.
    pub bytes: Payload,
}
