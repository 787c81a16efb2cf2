//! A simulated fabric that forwards each packet of a caller to a random balancer.

mod args;
mod network;
mod path;
mod path_faults;

pub use args::FabricArgs;
pub use network::Fabric;
pub use path_faults::PathFaults;
