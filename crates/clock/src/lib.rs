//! Clocks of the machine.

mod clock;
mod suspend_watch;

pub use clock::{epoch, now};
pub use suspend_watch::SuspendWatch;
