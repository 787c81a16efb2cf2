//! What an agent decides: which packets its backend server gets, and where the others go.

mod decision;
mod entry;
mod flow_table;
mod host;
mod life;
mod meter;
mod path;
mod trips;

pub use decision::{Inbound, Outbound, Passed, Step};
pub use life::Heard;
pub use path::AgentPath;
