//! Counts request outcomes in sliding windows and computes the error-budget burn rate.

mod outcome_windows;
mod ring;
mod tally;
mod window;

pub use outcome_windows::OutcomeWindows;
pub use tally::Tally;
pub use window::{WINDOWS, Window};
