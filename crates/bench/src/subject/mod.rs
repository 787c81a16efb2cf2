//! The subjects of the experiments: the system, the baselines and the oracle.

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
pub use baseline::{Balancing, Baseline};
pub use kind::SubjectKind;
pub use oracle::Oracle;
