//! An agent: a control thread, and a traffic thread for each direction.

mod calls;
mod control;
mod traffic;

pub(crate) use control::run;
