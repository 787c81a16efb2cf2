//! Measures the decision crates against small host models in virtual time.
//!
//! A run is a function of its seed: the workload is drawn first and is the same for the system, the
//! baselines and the oracle.

pub mod experiment;
pub mod model;
pub mod subject;
