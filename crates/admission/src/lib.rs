//! Scheduling decisions of the agent: classes, slots, deadlines and refusals.
//!
//! The [`Scheduler`] owns a request from its arrival to its outcome. It performs no I/O: it takes
//! events with the time at which they occurred and returns the actions to be carried out.

mod action;
mod arrival;
mod claiming;
mod class;
mod counter;
mod entry;
mod estimate;
mod event;
mod expiry;
mod forecast;
mod job;
mod meter;
mod peers;
mod policy;
mod queue;
mod rank;
mod recent;
mod running;
mod runs;
mod scheduler;
mod sharing;
mod table;
mod task;

pub use action::Action;
pub use counter::Counter;
pub use event::Event;
pub use policy::{Policy, QueueOrder};
pub use scheduler::Scheduler;
