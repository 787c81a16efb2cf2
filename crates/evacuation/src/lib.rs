//! Which data centres take no new flows, because an operator has asked for it in the store.
//!
//! Processes exchange the whole set of evacuated data centres, which is ordered by the store's
//! version. Nothing here performs I/O, reads a clock or encodes a message.

mod active_evacuations;
mod change;
mod evacuation;
mod evacuations;
mod status;
mod store_silence;

pub use active_evacuations::ActiveEvacuations;
pub use change::Change;
pub use evacuations::Evacuations;
pub use status::EvacuationStatus;
pub use store_silence::watch_wait;
