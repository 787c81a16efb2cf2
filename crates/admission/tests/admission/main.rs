//! Tests of the scheduler's public interface: tables in `tests/data`, and properties.

mod common;
mod faults;
mod properties;
mod text;
mod weight;
mod world;
