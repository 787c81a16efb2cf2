//! Control state: configuration, rosters and membership, owned by one thread.

mod call;
mod event;
mod feed;
mod state;
mod writer;

pub(crate) use call::{Call, Content, Parcels, serve};
pub(crate) use event::ControlEvent;
pub(crate) use feed::{fetch_from_peers, follow};
pub(crate) use state::State;
pub(crate) use writer::{edit_fleet, edit_roster};
