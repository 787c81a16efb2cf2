//! Membership decisions: heartbeats, suspicion, host states and roster proposals.
//!
//! One [`Membership`] per process, for agents and balancers alike.

mod action;
mod balancers;
mod change;
mod event;
mod fleet_proposal;
mod fleet_watch;
mod heartbeats;
mod host;
mod host_lifecycle;
mod identity;
mod liveness;
mod membership;
mod own_host;
mod proposal;
mod services;
mod status;
mod suspect_rotation;
mod watch;

pub use action::Action;
pub use change::Change;
pub use event::Event;
pub use fleet_proposal::FleetProposal;
pub use host::{Announced, Draining, Host, Serving};
pub use host_lifecycle::HostLifecycle;
pub use identity::Identity;
pub use membership::Membership;
pub use proposal::Proposal;
pub use status::Status;
