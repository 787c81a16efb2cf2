//! The project's own objects in the platform's store: conditional writes whose outcome is found out,
//! lists and watches.

mod backoff;
mod batch;
mod codec;
mod error;
mod exchange;
mod limits;
mod record;
mod store;
mod transport;

pub use batch::Batch;
pub use codec::{decode, encode};
pub use error::PlatformError;
pub use limits::Limits;
pub use store::Store;

pub(crate) use record::Record;
