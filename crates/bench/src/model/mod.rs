//! Fakes of hosts and callers, the workload, and what a run measures.

mod calendar;
mod deployment;
mod host;
mod plan;
mod tally;
mod work;

pub use calendar::Calendar;
pub use deployment::Deployment;
pub use host::Host;
pub use plan::{Arrival, Flow, Plan, Shape};
pub(crate) use plan::{SERVICE, flow_number};
pub use tally::{Ending, Tally};
pub use work::Work;
