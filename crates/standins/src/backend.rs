mod args;
mod server;
mod switches;

pub use args::BackendArgs;
pub use server::Backend;
pub use switches::{Behaviour, Switches};
