//! Decides when the opening packet of a flow is sent to a second host, within a share of all openings.

mod budget;
mod decision;
mod extra_share;
mod hedge;

pub use budget::Budget;
pub use decision::{Cause, Decision, Shortage};
pub use extra_share::{ExtraShare, InvalidShare};
pub use hedge::{Hedge, Opening};
