//! Numbered log events: one line of `key=value` pairs for each.

mod event;

pub use event::Event;
