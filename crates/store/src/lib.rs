//! Client of the platform's object API.

mod backoff;
mod batch;
mod codec;
mod error;
mod exchange;
mod limits;
mod store;
mod transport;

pub use batch::Batch;
pub use codec::{decode, encode};
pub use error::PlatformError;
pub use limits::Limits;
pub use store::Store;
