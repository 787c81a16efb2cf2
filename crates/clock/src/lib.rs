//! The machine's clocks, and detection of its suspension.

mod clock;
mod socket_backlog;
mod suspend_watch;

pub use clock::{epoch, now, since_boot};
pub use socket_backlog::SocketBacklog;
pub use suspend_watch::SuspendWatch;
