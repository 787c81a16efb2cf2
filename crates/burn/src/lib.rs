//! Counts request outcomes in sliding windows and computes the error-budget burn rate.

mod burn;
mod ring;
mod tally;
mod window;

pub use burn::Burn;
pub use tally::Tally;
pub use window::{WINDOWS, Window};
