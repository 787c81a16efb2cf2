//! Forwarding decisions for packets of flows whose state is held by backend servers.
//!
//! A balancer places new flows on hosts and finds the hosts of established ones. An agent delivers
//! packets to its backend server, queues them or forwards them to other agents. Nothing here
//! performs I/O, reads a clock or encodes a message.

mod active_configuration;
mod agent;
mod allowed_regions;
mod answer_era;
mod balancer;
mod candidates;
mod configuration_version;
mod control_targets;
mod cpu_capacity;
mod fleet;
mod flow_key;
mod forward_header;
mod hello_rotation;
mod hint;
mod host_heartbeat;
mod host_identity;
mod host_page;
mod host_state;
mod load;
mod member;
mod node_id;
mod packet_header;
mod report;
mod route;
mod service_key;
mod stale_entries;
mod store_position;
mod watch_schedule;

pub use active_configuration::ActiveConfiguration;
pub use agent::{
    AgentForwarder, ForwardReason, HeartbeatEffect, Inbound, InboundAction, Outbound, RankCount,
    RankCounts, Refusal, Release,
};
pub use allowed_regions::AllowedRegions;
pub use answer_era::AnswerEra;
pub use balancer::{
    BalancerForwarder, FleetStart, HostDirectory, HostSource, RejectReason, RoutingView,
    SettleWatch, StartUp, Verdict, WakeUp,
};
pub use candidates::Candidates;
pub use configuration_version::ConfigurationVersion;
pub use control_targets::{ControlTargets, Digest};
pub use cpu_capacity::{CpuCapacity, InvalidCapacity};
pub use fleet::Fleet;
pub use flow_key::FlowKey;
pub use forward_header::{ForwardHeader, ShortestQueue};
pub use hello_rotation::HelloRotation;
pub use hint::Hint;
pub use host_heartbeat::HostHeartbeat;
pub use host_identity::HostIdentity;
pub use host_page::{HostPage, KnownHost};
pub use host_state::{HostState, UnknownState};
pub use load::Load;
pub use node_id::NodeId;
pub use packet_header::{Flags, PacketHeader};
pub use report::{Hello, Report};
pub use route::{Configuration, Route};
pub use service_key::ServiceKey;
pub use stale_entries::StaleEntries;
pub use store_position::StorePosition;
pub use watch_schedule::WatchSchedule;
