//! A balancer: a control thread and a traffic thread.

mod answer_progress;
mod configuration_copy;
mod control;
mod evacuated;
mod evacuation_feed;
mod feed;
mod hellos;
mod host_fetch;
mod registry;
mod reports;
mod state;
mod store_reader;
mod store_signals;
mod traffic;

pub(crate) use control::run;
