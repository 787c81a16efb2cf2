//! Weighted rendezvous hashing: which members come first for a key.
//!
//! Every process computes the same order from the same roster, without asking another.

mod bucket;
mod key;
mod rank;

pub use bucket::bucket_of;
pub use key::key_of;
pub use rank::{first, rank, rendezvous};
