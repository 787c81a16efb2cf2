//! Forwarding decisions for packets of flows whose state is held by backend servers.
//!
//! A balancer places new flows on hosts and finds the hosts of established ones. An agent delivers
//! packets to its backend server, queues them or forwards them to other agents. Nothing here
//! performs I/O, reads a clock or encodes a message.

mod agent;
mod balancer;
mod candidates;
mod departures;
mod exchange;
mod fleet;
mod flow_key;
mod head;
mod hint;
mod host_state;
mod host_word;
mod in_force;
mod load;
mod member;
mod node_id;
mod report;
mod route;
mod service_key;
mod strength;
mod trip;

pub use agent::{AgentPath, ForwardReason, Heard, Inbound, Outbound, Release, Step};
pub use balancer::{BalancerPath, Directory, Found, Refused, Verdict, View};
pub use candidates::Candidates;
pub use departures::Departures;
pub use exchange::{Exchange, Relayed};
pub use fleet::Fleet;
pub use flow_key::FlowKey;
pub use head::{Flags, Head};
pub use hint::Hint;
pub use host_state::{HostState, UnknownState};
pub use host_word::HostWord;
pub use in_force::InForce;
pub use load::Load;
pub use node_id::NodeId;
pub use report::{Hello, Report};
pub use route::{Configuration, Route};
pub use service_key::ServiceKey;
pub use strength::{InvalidStrength, Strength};
pub use trip::{Best, Trip};
