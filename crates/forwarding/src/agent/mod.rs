//! An agent's decisions: which packets its backend server gets, and where the others go.

mod cold_limit;
mod decision;
mod entry;
mod flow_table;
mod forward;
mod forwarder;
mod heartbeats;
mod held_data;
mod host;
mod host_evacuation;
mod host_monitor;
mod lifecycle;
mod openings;
mod pending_deliveries;
mod rank_counts;
mod requests;
mod wait_queue;

pub use decision::{ForwardReason, Inbound, InboundAction, Outbound, Refusal, Release};
pub(crate) use entry::MAX_SEQUENCE_DISTANCE;
pub use forwarder::AgentForwarder;
pub use lifecycle::HeartbeatEffect;
pub use rank_counts::{RankCount, RankCounts};
