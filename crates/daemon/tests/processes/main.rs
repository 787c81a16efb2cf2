//! Tests with real processes that are killed, paused and restarted, a failing store and a faulty
//! fabric.

mod answers;
mod backend_down;
mod balancers;
mod datagrams;
mod deployment;
mod isolation;
mod load;
mod logs;
mod paused_agent;
mod planned_stop;
mod process;
mod settings;
mod starvation;
mod store_down;
mod store_restored;
