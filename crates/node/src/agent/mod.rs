//! An agent: a control thread, and a traffic thread for each direction.

mod control;
mod traffic;

pub(crate) use control::run;
