//! What an agent decides: which packets its backend server gets, and where the others go.

mod decision;
mod entry;
mod flow_table;
mod host;
mod hunt;
mod life;
mod meter;
mod path;
mod trips;
mod waiting;

pub use decision::{Inbound, Outbound, Passed, Release, Step};
pub use life::Heard;
pub use path::AgentPath;
