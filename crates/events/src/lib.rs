//! Numbered log events, each written as one line of `key=value` pairs.

mod event;
mod rate_limit;

pub use event::Event;
pub use rate_limit::{limit_per_second, occurrences};
