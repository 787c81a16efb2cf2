//! Control state: configuration, rosters and membership, owned by one thread.

mod call;
mod catch_up;
mod core;
mod event;
mod feed;
mod restorer;
mod state;
mod suspicion;
mod update;
mod writer;

pub(crate) use self::core::Core;
pub(crate) use call::{Call, HandoverContent, HandoverRequest, ObjectBatch, serve};
pub(crate) use catch_up::CatchUp;
pub(crate) use event::ControlEvent;
pub(crate) use feed::{fetch_from_peers, follow};
pub(crate) use restorer::Restorer;
pub(crate) use state::ConfigState;
pub(crate) use suspicion::log_suspicion;
pub(crate) use update::Update;
pub(crate) use writer::{edit_fleet, edit_roster};
