//! Decisions of a balancer about packets, one situation per test.

mod copies;
mod fixture;
mod packets;
mod search;
