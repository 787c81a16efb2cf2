//! Contract tests of the scheduler, against tables in `tests/data` and against properties.

mod common;
mod faults;
mod properties;
mod strength;
mod text;
mod world;
