mod args;
mod server;

pub use args::BackendArgs;
pub use server::Backend;
