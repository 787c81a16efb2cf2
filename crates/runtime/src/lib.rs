//! Runs the decision crates: control thread, traffic threads, sockets and administration RPC.

mod agent;
mod backend;
mod balancer;
mod control;
mod error;
mod event;
mod metric;
mod metrics;
mod settings;
mod socket;

pub use agent::run_agent;
pub use balancer::run_balancer;
pub use error::RuntimeError;
pub use event::EVENTS;
pub use metric::{METRICS, Metric, MetricKind};
pub use settings::{AgentSettings, BalancerSettings, CommonSettings};
pub use usher_clock::now;
pub use usher_events::Event;
