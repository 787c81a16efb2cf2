//! Weighted rendezvous hashing: ranks the members of a service for a key.
//!
//! Every process computes the same order from the same roster, without communication.

mod bucket;
mod key;
mod rank;

pub use bucket::bucket_of;
pub use key::key_of;
pub use rank::{highest_ranked, rank, rendezvous_score};
