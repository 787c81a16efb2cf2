//! Tests of the ledger and the claimant, alone by tables and together under faults.

mod claimant;
mod fixture;
mod ledger;
mod process;
mod property;
mod world;
