//! Flow table of an agent: accepting, forwarding, reassembly, directory and handover.
//!
//! [`FlowTable`] turns typed events into typed actions and never encodes a message. [`Inbox`] and
//! [`Outbox`] each handle one direction of a flow; agents and callers both use them.

mod action;
mod counter;
mod directory;
mod error;
mod event;
mod flow;
mod inbox;
mod outbox;
mod outgoing_transfer;
mod ranges;
mod settings;
mod table;
mod timers;
mod transfer;

pub use action::Action;
pub use counter::Counter;
pub use error::FlowError;
pub use event::Event;
pub use inbox::{Inbox, Receipt};
pub use outbox::{Outbox, UnackedMessage};
pub use ranges::Ranges;
pub use settings::Settings;
pub use table::{FLOW_BYTES, FlowTable};
pub use transfer::{FlowLocation, FlowState, Transfer};

use usher_types::Span;

/// Largest payload of a segment in bytes; with headers it fits a 1,500-byte datagram.
pub const SEGMENT_BYTES: usize = 1_200;
/// Largest message in bytes, in either direction.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Longest time a packet may stay in the network; tombstones are kept as long.
pub const PACKET_LIFETIME: Span = Span::from_secs(30);
