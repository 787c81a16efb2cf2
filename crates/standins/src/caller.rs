//! Two callers: one generates an open-loop load, in which slow answers do not delay later
//! requests; the other sends single requests.

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
