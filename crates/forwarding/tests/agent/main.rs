//! Decisions of an agent about packets, one situation per test.

mod callers;
mod cold;
mod completeness;
mod evacuation;
mod extra_openings;
mod fixture;
mod flows;
mod late_copies;
mod order;
mod outcomes;
mod queue;
mod requests;
mod starting_host;
