//! Test stand-ins for the platform's fabric, a backend server and callers.

mod args;
mod backend;
mod caller;
mod clock;
mod fabric;
mod probe;

pub use args::Args;
pub use backend::{Backend, BackendArgs, BackendControl, Behaviour};
pub use caller::{Caller, CallerArgs, Pending, Request};
pub use fabric::{Fabric, FabricArgs, PathFaults};
pub use probe::ProbeArgs;
