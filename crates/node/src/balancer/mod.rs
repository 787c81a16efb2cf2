//! A balancer: a control thread and a traffic thread.

mod configuration_copy;
mod control;
mod feed;
mod host_fetch;
mod registry;
mod state;
mod store_signals;
mod traffic;

pub(crate) use control::run;
