//! The order in which waiting work gets the slots of a server.
//!
//! Work of the best rank is served first, then by start-time fair queueing of callers, then by
//! arrival. Nothing here performs I/O or reads a clock.

mod caller;
mod caller_shares;
mod fair_queue;
mod place;

pub use caller::Caller;
pub use fair_queue::{FairQueue, Waiting};
pub use place::Place;
pub use usher_types::Rank;
