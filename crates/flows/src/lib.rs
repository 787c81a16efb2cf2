//! Flow decisions of the agent: accept, forward, directory, segments and handover.
//!
//! [`FlowTable`] decides on typed events and never encodes a message. [`Inbox`] and [`Outbox`]
//! hold one direction of a flow each and serve callers as well as agents.

mod action;
mod counter;
mod directory;
mod error;
mod event;
mod flow;
mod inbox;
mod outbox;
mod ranges;
mod settings;
mod table;
mod timers;
mod transfer;
mod transit;

pub use action::Action;
pub use counter::Counter;
pub use error::FlowError;
pub use event::Event;
pub use inbox::{Inbox, Receipt};
pub use outbox::{Outbox, Output};
pub use ranges::Ranges;
pub use settings::Settings;
pub use table::{FLOW_BYTES, FlowTable};
pub use transfer::{FlowState, Located, Transfer};

use usher_types::Span;

/// Largest payload of one segment in bytes; fits a datagram of 1,500 bytes with its headers.
pub const SEGMENT_BYTES: usize = 1_200;
/// Largest message in bytes, in either direction.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Longest time that a packet stays in the network; tombstones last as long.
pub const PACKET_LIFETIME: Span = Span::from_secs(30);
