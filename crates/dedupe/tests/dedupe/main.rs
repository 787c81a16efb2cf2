//! Tests of the ledger and the claimant: each alone by a table, both together under random faults.

mod claimant;
mod fixture;
mod handover_json;
mod ledger;
mod process;
mod property;
mod simulation;
