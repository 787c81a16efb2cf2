//! Decisions of a balancer about packets, one situation per test.

mod chains;
mod copies;
mod evacuation;
mod extra_openings;
mod fixture;
mod lost_packets;
mod outliers;
mod packets;
mod parallel;
mod placement;
mod regions;
mod search;
mod wake_up;
