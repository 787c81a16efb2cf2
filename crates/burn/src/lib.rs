//! Counts outcomes against a service's objective, in windows of bounded memory.

mod burn;
mod ring;
mod tally;
mod window;

pub use burn::Burn;
pub use tally::Tally;
pub use window::{WINDOWS, Window};
