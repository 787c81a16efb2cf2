//! Code that the control threads of balancers and agents share.

mod balancer_list;
mod evacuation_record;
mod invalid_entries;
mod metrics;
mod peers;
mod reload;
mod signals;
mod store;

pub(crate) use balancer_list::BalancerList;
pub(crate) use evacuation_record::EvacuationRecord;
pub(crate) use invalid_entries::InvalidEntries;
pub(crate) use metrics::serve_metrics;
pub(crate) use peers::Peers;
pub(crate) use reload::reload;
pub(crate) use signals::{Signal, Signals};
pub(crate) use store::{BALANCERS, Backoff, list_balancers, register, remove};
