//! Measures how memory, processor time and message sizes grow with the size of a deployment.
//!
//! Each point runs in a process of its own, so that its resident memory starts from nothing;
//! `scripts/capacity` runs all points and fits a line to each figure.

mod args;
mod line;
mod meter;
mod point;
mod sample;
mod sweep;
mod sweeps;

pub use args::Args;
pub use line::Line;
pub use point::Point;
pub use sweep::Sweep;
