//! Runs the decision crates: control thread, traffic threads, sockets and administration RPC.

mod backend;
mod clock;
mod error;
mod event;
mod metrics;
mod settings;

pub use clock::now;
pub use error::RuntimeError;
pub use event::{EVENTS, Event};
pub use settings::{AgentSettings, BalancerSettings, Common};
