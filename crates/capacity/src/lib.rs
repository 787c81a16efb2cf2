//! Measures how memory, processor time and message sizes grow with a deployment.
//!
//! Each point is measured in a process of its own, so that memory used by earlier points does not
//! count. `scripts/capacity` measures all points and fits a line to each figure.

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
