//! Callers: one with an open-loop load, in which a slow answer does not slow the requests that
//! follow, and one that sends single requests.

mod args;
mod connection;
mod driver;
mod load;
mod request;
mod run;
mod single;
mod tally;

pub use args::CallerArgs;
pub use request::Request;
pub use single::{Caller, Pending};
