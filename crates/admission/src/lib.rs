//! The agent's request scheduler: queues, slots, deadlines, retries, refusals and work sharing.
//!
//! The [`Scheduler`] tracks a request from its arrival to its outcome. It performs no I/O: it takes
//! timestamped events and returns the actions to be carried out.

mod action;
mod arrival;
mod claiming;
mod class;
mod closed_offers;
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
