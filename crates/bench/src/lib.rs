//! Compares the system with simpler balancers and an ideal scheduler in simulated time.
//!
//! The decision crates run unchanged against simulated callers, hosts and network. The seed alone
//! determines a run: the workload is generated first and is the same for the system, the baselines
//! and the oracle.

pub mod experiment;
pub mod model;
pub mod subject;
