//! What is measured: the real decision code, the baselines and the oracle.

mod agents;
mod agents_callers;
mod agents_hosts;
mod agents_network;
mod agents_restart;
mod baseline;
mod kind;
mod node;
mod oracle;

pub use agents::{Agents, Options};
pub use baseline::{Baseline, Choice};
pub use kind::Kind;
pub use oracle::Oracle;
