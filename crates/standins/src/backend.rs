mod args;
mod control;
mod server;

pub use args::BackendArgs;
pub use control::{BackendControl, Behaviour};
pub use server::Backend;
