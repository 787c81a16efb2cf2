//! The machine's clocks, and detection of its suspension.

mod clock;
mod suspend_watch;

pub use clock::{epoch, now};
pub use suspend_watch::SuspendWatch;
