//! Test stand-ins for the platform's fabric, a backend server and a caller.

mod args;
mod backend;
mod caller;
mod clock;
mod fabric;
mod probe;

pub use args::Args;
pub use backend::{Backend, BackendArgs, Behaviour, Switches};
pub use caller::{Caller, CallerArgs, Pending, Request};
pub use fabric::{Fabric, FabricArgs, PathFaults};
pub use probe::ProbeArgs;
