//! An agent: a control thread, and a traffic thread for each direction.

mod calls;
mod control;
mod held_packets;
mod traffic;

pub(crate) use control::run;
