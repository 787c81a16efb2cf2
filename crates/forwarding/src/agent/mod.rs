//! An agent's decisions: which packets its backend server gets, and where the others go.

mod decision;
mod entry;
mod flow_table;
mod forward;
mod host;
mod host_monitor;
mod lifecycle;
mod path;
mod pending_deliveries;
mod wait_queue;

pub use decision::{ForwardReason, Inbound, Outbound, Release, Step};
pub use lifecycle::Heard;
pub use path::AgentPath;
