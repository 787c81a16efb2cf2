//! The simulated deployments and hosts, the workload, and the result of a run.

mod deployment;
mod event_queue;
mod host;
mod run_result;
mod work;
mod workload;

pub use deployment::Deployment;
pub use event_queue::EventQueue;
pub use host::Host;
pub use run_result::{Ending, RunResult};
pub use work::Work;
pub use workload::{Arrival, Flow, LoadProfile, Workload};
pub(crate) use workload::{SERVICE, flow_number};
