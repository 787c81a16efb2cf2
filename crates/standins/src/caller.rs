//! A caller with an open-loop load: a slow answer does not slow the requests that follow.

mod args;
mod connection;
mod driver;
mod load;
mod tally;

pub use args::CallerArgs;
