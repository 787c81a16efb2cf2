//! Simulates whole deployments of the decision crates in virtual time.
//!
//! A scenario is a text file that declares services and loads, injects faults at given times and
//! states the figures that it expects. Agents and balancers run the decision code of the real
//! processes; store, network, backend servers and callers are small fakes. Equal seeds give equal
//! runs.

mod agent_node;
mod backend;
mod balancer_node;
mod callers;
mod clock;
mod connection;
mod effect;
mod error;
mod expectation;
mod fault;
mod machine;
mod network;
mod report;
mod scenario;
mod scheduled_event;
mod simulation;
mod statement;
mod store;
mod tally;

pub use error::ScenarioError;
pub use report::Report;
pub use scenario::Scenario;
