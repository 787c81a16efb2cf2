//! Scripted scenarios over the decision crates in virtual time.
//!
//! A scenario is a text file that declares services and loads, injects faults at given times and
//! states the figures it expects. The processes are wired as the runtime wires them; store,
//! network, backend servers and callers are small fakes. Equal seeds give equal runs.

mod agent_node;
mod backend;
mod balancer_node;
mod caller;
mod clock;
mod connection;
mod due;
mod effect;
mod error;
mod expectation;
mod fault;
mod machine;
mod network;
mod report;
mod scenario;
mod statement;
mod store;
mod tally;
mod world;

pub use error::ScenarioError;
pub use report::Report;
pub use scenario::Scenario;
