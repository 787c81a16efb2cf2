//! Client for the project's own objects in the platform's store.
//!
//! It offers conditional writes, whose outcome is determined even if the answer is lost, lists and
//! watches.

mod backoff;
mod batch;
mod codec;
mod error;
mod exchange;
mod limits;
mod retry_client;
mod store;
mod stored_object;

pub use batch::Batch;
pub use codec::{decode, encode};
pub use error::StoreError;
pub use limits::Limits;
pub use store::Store;

pub(crate) use stored_object::StoredObject;
