//! Scenarios against the real processes: kill, stop and continue, restart, store down, faulty fabric.

mod answers;
mod backend_down;
mod balancers;
mod datagrams;
mod deployment;
mod isolation;
mod load;
mod paused_agent;
mod planned_stop;
mod process;
mod settings;
mod starvation;
mod store_down;
