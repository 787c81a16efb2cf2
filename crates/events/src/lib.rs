//! Numbered log events: one line of `key=value` pairs for each.

mod budget;
mod event;

pub use budget::{limit, total};
pub use event::Event;
